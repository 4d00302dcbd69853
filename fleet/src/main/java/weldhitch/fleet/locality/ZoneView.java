package weldhitch.fleet.locality;

/**
 * The state of a zone as a node sees it. Immutable.
 *
 * @param healthyFraction fraction of its endpoints' weight that responds, 0 to 1
 * @param utilization calls as a fraction of what its healthy endpoints bear, over 1 if it is overloaded. Calls paid
 *     for by quotas do not count: these fill a zone up to its threshold on purpose, and must not make it send
 *     its own callers away
 * @param lateFraction fraction of its attempts that were late or rejected, 0 to 1
 * @param capacity what its listed endpoints bear, in calls per second
 * @param observedAt the time of the latest report used, in nanoseconds of this process's clock
 * @param reporterCount number of nodes whose reports it is based on; 0 for a view by this node's observations
 *     only
 */
public record ZoneView(
        double healthyFraction,
        double utilization,
        double lateFraction,
        double capacity,
        long observedAt,
        int reporterCount) {}
