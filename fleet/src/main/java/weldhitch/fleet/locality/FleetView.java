package weldhitch.fleet.locality;

import java.util.Map;

/**
 * The leading coordinator's view of the zones, as sent to one node. Immutable.
 *
 * @param zones merged load reports by zone; empty if too few nodes have reported
 * @param grants rate that this node may send to each zone that it reported demand for, in calls per second
 * @param grantDuration how long the grants may be used, in nanoseconds of the node's clock, counted from when the node
 *     sent its heartbeat
 * @param reporterCount number of nodes whose reports are fresh
 * @param memberCount number of registered nodes
 */
public record FleetView(
        Map<String, ZoneLoad> zones,
        Map<String, Double> grants,
        long grantDuration,
        int reporterCount,
        int memberCount) {
    /** The view of a node that has not received one yet. */
    public static final FleetView EMPTY = new FleetView(Map.of(), Map.of(), 0, 0, 0);

    /** Copies the maps, so that the record stays immutable; null counts as empty. */
    public FleetView {
        zones = zones == null ? Map.of() : Map.copyOf(zones);
        grants = grants == null ? Map.of() : Map.copyOf(grants);
    }

    /**
     * The load of a zone according to all reports together. Immutable. The components without a description are those
     * of {@link ZoneView}.
     *
     * @param totalUtilization the utilization including the calls paid for by quota grants
     * @param ageNanos age of the oldest report used, in nanoseconds
     */
    public record ZoneLoad(
            double healthyFraction,
            double utilization,
            double totalUtilization,
            double lateFraction,
            double capacity,
            long ageNanos) {}
}
