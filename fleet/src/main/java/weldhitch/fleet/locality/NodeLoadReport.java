package weldhitch.fleet.locality;

import java.util.Map;

/**
 * A node's report on zones, sent to the coordinators with its heartbeats. Immutable.
 *
 * @param targetUtilization maximum utilization to which traffic from other zones may raise a zone, according to the
 *     node's rules; above 0, at most 1
 * @param maxLateFraction fraction of late attempts from which on a zone receives no traffic from other zones; above 0,
 *     at most 1
 * @param zones the node's observations by zone
 * @param spillDemand the load that the node would send to zones other than its own, in calls per second by zone
 */
public record NodeLoadReport(
        double targetUtilization,
        double maxLateFraction,
        Map<String, ZoneLoadReport> zones,
        Map<String, Double> spillDemand) {
    static final int MAX_ZONES = 256;

    private static final double MAX_RATE = 1e9;

    /** Checks ranges and copies the maps; null counts as empty. Each may have at most {@code MAX_ZONES} zones. */
    public NodeLoadReport {
        if (!(targetUtilization > 0 && targetUtilization <= 1 && maxLateFraction > 0 && maxLateFraction <= 1)) {
            throw new IllegalArgumentException(
                    "target and mostLate must be above 0 and at most 1: " + targetUtilization + ", " + maxLateFraction);
        }
        zones = zones == null ? Map.of() : Map.copyOf(zones);
        spillDemand = spillDemand == null ? Map.of() : Map.copyOf(spillDemand);
        if (zones.size() > MAX_ZONES || spillDemand.size() > MAX_ZONES) {
            throw new IllegalArgumentException("more than " + MAX_ZONES + " zones");
        }
        spillDemand.forEach((zone, perSecond) -> {
            if (!(perSecond >= 0 && perSecond < MAX_RATE)) {
                throw new IllegalArgumentException(
                        "wants of zone " + zone + " must be at least 0 and below 1e9: " + perSecond);
            }
        });
    }
}
