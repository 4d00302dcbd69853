package weldhitch.fleet.locality;

/**
 * The state of a zone as seen by a node. Immutable.
 *
 * @param healthyFraction fraction of the weight of the zone's endpoints that responds, 0 to 1
 * @param utilization call rate as a fraction of the capacity of the healthy endpoints; above 1 if the zone is
 *     overloaded. Calls paid for by quota grants do not count: they fill a zone up to its threshold on purpose, and
 *     must not cause the requests of its own nodes to spill over
 * @param lateFraction fraction of the zone's attempts that were late or rejected, 0 to 1
 * @param capacity capacity of the listed endpoints, in calls per second
 * @param observedAt the time of the latest report used, in nanoseconds of this process's clock
 * @param reporterCount number of nodes on whose reports the view is based; 0 if it is based on this node's
 *     observations only
 */
public record ZoneView(
        double healthyFraction,
        double utilization,
        double lateFraction,
        double capacity,
        long observedAt,
        int reporterCount) {}
