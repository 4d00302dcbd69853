package weldhitch.fleet.locality;

import java.util.Map;

/**
 * A node's report on zones, sent to the coordinators with its heartbeats. Immutable.
 *
 * @param target utilization above which traffic from other zones must not push a zone, by the node's rules; 0
 *     to 1
 * @param mostLate fraction of late attempts from which on a zone takes no traffic from other zones, 0 to 1
 * @param zones what the node has observed, by zone
 * @param wants what the node would send to zones other than its own, in calls per second
 */
public record NodeReport(double target, double mostLate, Map<String, ZoneReport> zones, Map<String, Double> wants) {
    static final int MOST_ZONES = 256;

    /** Checks ranges and copies the maps; null counts as empty. At most {@code MAX_ZONES} zones in each. */
    public NodeReport {
        if (!(target > 0 && target <= 1 && mostLate > 0 && mostLate <= 1)) {
            throw new IllegalArgumentException("target and mostLate from 0 to 1: " + target + ", " + mostLate);
        }
        zones = zones == null ? Map.of() : Map.copyOf(zones);
        wants = wants == null ? Map.of() : Map.copyOf(wants);
        if (zones.size() > MOST_ZONES || wants.size() > MOST_ZONES) {
            throw new IllegalArgumentException("more than " + MOST_ZONES + " zones");
        }
        wants.forEach((zone, perSecond) -> {
            if (!(perSecond >= 0 && perSecond < 1e9)) {
                throw new IllegalArgumentException("wants of zone " + zone + " not from 0 to 1e9: " + perSecond);
            }
        });
    }
}
