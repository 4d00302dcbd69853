package weldhitch.decision.balancing;

import java.util.List;

/**
 * Receives the reasons of a replayed balancer's decisions, on the balancer's thread. A balancer in a running node has
 * no listener and does not compute these reasons. Times are nanoseconds. Means are multiples of the expected latency
 * of the request's class.
 */
public interface DecisionListener {
    /** The reason why an endpoint could not be picked, or {@link #NONE} if it could. */
    enum ExclusionReason {
        /** The endpoint could be picked. */
        NONE("in"),
        DRAINING("draining"),
        /** The endpoint is outside the subset of this node. */
        OUTSIDE_SUBSET("not_around"),
        /** The endpoint is in slow start and has no credit. */
        NO_SLOW_START_CREDIT("cold"),
        ALREADY_ATTEMPTED("tried"),
        /** The endpoint is outside the deduplication scope of an earlier attempt. */
        OUTSIDE_DEDUPLICATION_SCOPE("other_group"),
        ZONE_NOT_ALLOWED("other_zone");

        private final String label;

        ExclusionReason(String label) {
            this.label = label;
        }

        /**
         * Returns the name used in reports and by {@code why --json}. Scripts read this output, so labels never change.
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
         * Returns the name used in reports and by {@code why --json}. Scripts read this output, so labels never change.
         */
        public String label() {
            return label;
        }
    }

    /**
     * The state of one endpoint at the time of a pick.
     *
     * @param exclusion the reason why it could not be picked
     * @param windowMean the mean of its last round trips, 0 if there are none
     * @param pickMean the mean used for the pick, 0 if it could not be picked
     * @param healthFactor the factor by which failures lower its weight, 1 without failures
     * @param slowStartFactor the factor by which slow start lowers its weight, 1 when warm
     * @param slowStartCredit its slow-start credit: the number of attempts that it may still be sent
     * @param outstanding the number of its attempts in flight
     * @param weight its weight, not normalized: its probability is this value divided by the sum over all candidates
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
     * A pick of an endpoint for an attempt.
     *
     * @param lowestMean t_b, the lowest mean
     * @param candidates all endpoints of the endpoint list
     * @param firstDraw the first endpoint drawn, null if none could be picked
     * @param secondDraw the second endpoint drawn, null if none could be picked
     * @param chosen the endpoint picked, null if none could be picked
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

    /** Called after each pick, whether or not an endpoint could be picked. */
    void onPick(PickTrace trace);

    /** Called after each decision on a request. */
    void onDecision(long at, String requestId, DecisionReason reason);
}
