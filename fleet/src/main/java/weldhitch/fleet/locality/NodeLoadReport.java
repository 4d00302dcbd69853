package weldhitch.fleet.locality;

import java.util.Map;

/**
 * A node's report on zones, sent to the coordinators with its heartbeats. Immutable.
 *
 * @param targetUtilization utilization above which traffic from other zones must not push a zone, by the
 *     node's rules; 0 to 1
 * @param maxLateFraction fraction of late attempts from which on a zone takes no traffic from other zones, 0 to 1
 * @param zones what the node has observed, by zone
 * @param spillDemand what the node would send to zones other than its own, in calls per second
 */
public record NodeLoadReport(
        double targetUtilization,
        double maxLateFraction,
        Map<String, ZoneLoadReport> zones,
        Map<String, Double> spillDemand) {
    static final int MAX_ZONES = 256;

    private static final double MAX_RATE = 1e9;

    /** Checks ranges and copies the maps; null counts as empty. At most {@code MAX_ZONES} zones in each. */
    public NodeLoadReport {
        if (!(targetUtilization > 0 && targetUtilization <= 1 && maxLateFraction > 0 && maxLateFraction <= 1)) {
            throw new IllegalArgumentException(
                    "target and mostLate from 0 to 1: " + targetUtilization + ", " + maxLateFraction);
        }
        zones = zones == null ? Map.of() : Map.copyOf(zones);
        spillDemand = spillDemand == null ? Map.of() : Map.copyOf(spillDemand);
        if (zones.size() > MAX_ZONES || spillDemand.size() > MAX_ZONES) {
            throw new IllegalArgumentException("more than " + MAX_ZONES + " zones");
        }
        spillDemand.forEach((zone, perSecond) -> {
            if (!(perSecond >= 0 && perSecond < MAX_RATE)) {
                throw new IllegalArgumentException("wants of zone " + zone + " not from 0 to 1e9: " + perSecond);
            }
        });
    }
}
