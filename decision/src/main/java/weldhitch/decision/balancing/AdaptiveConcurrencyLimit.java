package weldhitch.decision.balancing;

/**
 * An adaptive concurrency limit on admitted requests. It converges to the limit at which a tenth of the responses
 * miss their latency objective. The last part of the limit is reserved for requests whose priority weight per
 * expected latency is at least average. Called by {@link RatioBalancer} on its thread; not thread-safe.
 */
final class AdaptiveConcurrencyLimit {
    /** Fraction of the limit that all requests may use; the rest is reserved for high-priority requests. */
    private static final double NORMAL_PRIORITY_FRACTION = 0.7;

    private static final double MIN_LIMIT = 8;
    /** Assumed concurrency of one endpoint before the first response. */
    private static final double INITIAL_PER_ENDPOINT = 6;
    /** Fraction of late responses at which the limit is stable. */
    private static final double TARGET_LATE_FRACTION = 0.1;

    private static final int SLOW_START_EXIT_COUNT = 4;

    double limit = MIN_LIMIT;
    int admitted;
    /** Whether responses have moved the limit from its initial value. */
    boolean adjusted;
    /** Whether the limit is in slow start: nothing has yet indicated that the endpoints are at capacity. */
    boolean inSlowStart = true;
    /** Lowest ratio of a latency to its objective so far. */
    double lowestLatencyRatio = Double.MAX_VALUE;
    /** Number by which slow responses outnumber quick ones during slow start; at least 0. */
    int slowAnswerExcess;
    /** Total weight of the endpoints for which the limit was learned. */
    double endpointWeight = 1;

    /** Returns whether a request may be admitted; with {@code highPriority} it may use the reserved part. */
    boolean hasCapacity(boolean highPriority) {
        return admitted < (highPriority ? limit : NORMAL_PRIORITY_FRACTION * limit);
    }

    void acquire() {
        admitted++;
    }

    void release() {
        admitted--;
    }

    /**
     * Adapts the limit to a changed endpoint list. A limit that responses have adjusted is scaled in proportion to the
     * total weight of the endpoints.
     *
     * @param readyCount number of ready endpoints
     * @param totalWeight total weight of the ready endpoints
     * @param nodeCount number of nodes that share the endpoints
     */
    void onEndpointsChanged(int readyCount, double totalWeight, int nodeCount) {
        if (!adjusted) {
            limit = Math.max(MIN_LIMIT, INITIAL_PER_ENDPOINT * readyCount / nodeCount);
        } else if (totalWeight > 0) {
            limit = Math.max(MIN_LIMIT, limit * totalWeight / endpointWeight);
        }
        if (totalWeight > 0) {
            endpointWeight = totalWeight;
        }
    }

    /**
     * Adjusts the limit after a response. A response in time raises the limit a little if the limit is in use; a late
     * response lowers it by much more. A limit that stayed at its initial value would reject requests that idle
     * endpoints could serve. A limit that grew while little of it is used would not reflect the capacity of the
     * endpoints (compare RFC 7661 for TCP).
     *
     * <p>A node that has just started has a low limit, and it may be the only node. Until the first sign that the
     * endpoints are at capacity, each response in time raises the limit by 1, so that it doubles with each round trip
     * (slow start, RFC 5681 section 3.1). One such sign is an endpoint that rejects a request as full. Another is that
     * slow responses outnumber the others by {@value #SLOW_START_EXIT_COUNT}. A response is slow if its latency is at
     * least half of its objective and its ratio to the objective is at least twice the lowest ratio so far. A single
     * slow response is not enough, because the first responses of a newly started fleet are slow even without load
     * (RFC 9406 section 4.2 requires eight samples).
     *
     * @param latency the latency in nanoseconds
     * @param latencyObjective the latency objective in nanoseconds
     */
    void recordLatency(long latency, long latencyObjective) {
        if (inSlowStart) {
            double latencyRatio = (double) latency / latencyObjective;
            lowestLatencyRatio = Math.min(lowestLatencyRatio, latencyRatio);
            slowAnswerExcess = Math.max(
                    0, slowAnswerExcess + (latencyRatio >= 0.5 && latencyRatio >= 2 * lowestLatencyRatio ? 1 : -1));
            inSlowStart = slowAnswerExcess < SLOW_START_EXIT_COUNT;
        }
        if (latency > latencyObjective) {
            decrease();
        } else if (admitted >= NORMAL_PRIORITY_FRACTION * limit) {
            adjusted = true;
            limit += inSlowStart ? 1 : TARGET_LATE_FRACTION;
        }
    }

    /**
     * Ends slow start after an endpoint rejected a request as full. The limit is not lowered, because a single full
     * endpoint does not mean that all are full; the next endpoint may have capacity.
     */
    void onEndpointFull() {
        inSlowStart = false;
    }

    /** Lowers the limit after a second endpoint in a row rejected a request as full: too many requests are admitted. */
    void onSecondEndpointFull() {
        decrease();
    }

    private void decrease() {
        adjusted = true;
        limit = Math.max(MIN_LIMIT, limit - (1 - TARGET_LATE_FRACTION));
    }
}
