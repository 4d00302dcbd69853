package weldhitch.fleet.locality;

/**
 * A node's observations of a zone in approximately the last second. Immutable.
 *
 * @param capacity capacity of the zone's endpoints according to the node's endpoint list and rules, in calls per second
 * @param nonQuotaCallRate rate of this node's calls that are not paid for by quota grants, in calls per second
 * @param quotaCallRate rate of this node's calls that are paid for by quota grants, in calls per second
 * @param observedWeight weight of the endpoints of which the node has a recent result
 * @param failingWeight weight of the endpoints that do not answer the node
 * @param attemptRate rate of attempts that ended, per second
 * @param lateRate rate of those attempts that were late or rejected, per second
 */
public record ZoneLoadReport(
        double capacity,
        double nonQuotaCallRate,
        double quotaCallRate,
        double observedWeight,
        double failingWeight,
        double attemptRate,
        double lateRate) {
    private static final double MAX_VALUE = 1e9;

    /** Rejects values that are not at least 0 and below 1e9. */
    public ZoneLoadReport {
        for (double value : new double[] {
            capacity, nonQuotaCallRate, quotaCallRate, observedWeight, failingWeight, attemptRate, lateRate
        }) {
            if (!(value >= 0 && value < MAX_VALUE)) {
                throw new IllegalArgumentException("zone load value must be at least 0 and below 1e9: " + value);
            }
        }
    }
}
