package weldhitch.fleet.locality;

/**
 * What a node has observed of a zone in about the last second. Immutable.
 *
 * @param capacity what the zone's listed endpoints bear by the node's list and rules, in calls per second
 * @param nonQuotaCallRate calls per second of this node that no quota paid for
 * @param quotaCallRate calls per second that a quota paid for
 * @param observedWeight weight of the endpoints that the node has a recent result of
 * @param failingWeight weight of those that do not answer it
 * @param attemptRate attempts per second that ended
 * @param lateRate those of them that were late or rejected
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

    /** Rejects values that are not from 0 to 1e9. */
    public ZoneLoadReport {
        for (double value : new double[] {
            capacity, nonQuotaCallRate, quotaCallRate, observedWeight, failingWeight, attemptRate, lateRate
        }) {
            if (!(value >= 0 && value < MAX_VALUE)) {
                throw new IllegalArgumentException("zone load value out of range 0 to 1e9: " + value);
            }
        }
    }
}
