package weldhitch.decision.balancing;

import java.util.List;

/**
 * Receives the reasons of a replayed balancer's decisions, on the balancer's thread. A balancer in a running
 * node has no listener and computes none of this. Times are nanoseconds; means are multiples of the expected
 * latency of the request's class.
 */
public interface DecisionListener {
    /** Why an endpoint could not be picked; {@link #NONE} if it could. */
    enum ExclusionReason {
        /** It could be picked. */
        NONE("in"),
        DRAINING("draining"),
        /** It is outside the subset of this node. */
        OUTSIDE_SUBSET("not_around"),
        /** It is in slow start and has no credit. */
        NO_SLOW_START_CREDIT("cold"),
        ALREADY_ATTEMPTED("tried"),
        /** It is outside the deduplication scope of an earlier attempt. */
        OUTSIDE_DEDUPLICATION_SCOPE("other_group"),
        ZONE_NOT_ALLOWED("other_zone");

        private final String label;

        ExclusionReason(String label) {
            this.label = label;
        }

        /**
         * Returns its name in reports and {@code why --json}. Scripts read this output, so labels never change.
         */
        public String label() {
            return label;
        }
    }

    /** The reason of a decision on a request. */
    enum DecisionReason {
        ADMITTED("admitted"),
        QUEUED("waits for room"),
        QUEUE_TIMEOUT("no room in time"),
        TENANT_QUOTA_EXHAUSTED("tenant quota"),
        NO_ENDPOINT_AVAILABLE("no server now"),
        DEADLINE_EXCEEDED("past deadline"),
        RETRIED("tried again"),
        BACKING_OFF("backs off"),
        HEDGED("second copy"),
        OUTCOME_NOT_RETRYABLE("route does not retry"),
        MAX_ATTEMPTS_REACHED("attempts used up"),
        POSSIBLY_EXECUTED("may have run"),
        DEDUPLICATION_WINDOW_EXPIRED("memory run out"),
        RETRY_BUDGET_EXHAUSTED("no budget"),
        BACKOFF_EXCEEDS_DEADLINE("backoff too long"),
        REQUESTING_ZONES("asks for zones"),
        NO_ALLOWED_ZONE("no zone");

        private final String label;

        DecisionReason(String label) {
            this.label = label;
        }

        /**
         * Returns its name in reports and {@code why --json}. Scripts read this output, so labels never change.
         */
        public String label() {
            return label;
        }
    }

    /**
     * One endpoint at a pick.
     *
     * @param exclusion why it could not be picked
     * @param windowMean mean of its last round trips, 0 if there are none
     * @param pickMean the mean used for the pick, 0 if it could not be picked
     * @param healthFactor the factor that its failures leave of its weight
     * @param slowStartFactor the factor of slow start, 1 when warm
     * @param slowStartCredit its slow-start credit in calls
     * @param outstanding its attempts in flight
     * @param weight its weight, not normalized; the sum over all candidates is the total
     */
    record PickCandidate(
            String endpointId,
            String zone,
            ExclusionReason exclusion,
            double windowMean,
            double pickMean,
            double healthFactor,
            double slowStartFactor,
            double slowStartCredit,
            int outstanding,
            double weight) {}

    /**
     * One pick.
     *
     * @param lowestMean t_b, the lowest mean
     * @param candidates all endpoints of the list
     * @param firstDraw the first endpoint drawn, null if none could be picked
     * @param secondDraw the second endpoint drawn, null if none could be picked
     * @param chosen the endpoint picked, null if none could be
     */
    record PickTrace(
            long at,
            String requestId,
            int attempt,
            double lowestMean,
            List<PickCandidate> candidates,
            String firstDraw,
            String secondDraw,
            String chosen) {}

    /** An endpoint was picked for an attempt, or none could be. */
    void onPick(PickTrace trace);

    /** A decision on a request was made. */
    void onDecision(long at, String requestId, DecisionReason reason);
}
