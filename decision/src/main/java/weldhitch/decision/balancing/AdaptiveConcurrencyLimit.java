package weldhitch.decision.balancing;

/**
 * An adaptive concurrency limit on admitted requests: it settles where a tenth of the answers miss their
 * latency objective. Its last part is reserved for requests of more than average priority weight for their
 * work. Called by {@link RatioBalancer} on its thread; not thread-safe.
 */
final class AdaptiveConcurrencyLimit {
    /** The fraction of the limit that all requests may use; the rest is for the more important ones. */
    private static final double NORMAL_PRIORITY_FRACTION = 0.7;

    private static final double MIN_LIMIT = 8;
    /** Assumed concurrency of one endpoint before there is any answer. */
    private static final double INITIAL_PER_ENDPOINT = 6;
    /** The fraction of late answers at which the limit is stable. */
    private static final double TARGET_LATE_FRACTION = 0.1;

    private static final int SLOW_START_EXIT_COUNT = 4;

    double limit = MIN_LIMIT;
    int admitted;
    /** Whether answers have moved the limit from its initial value. */
    boolean adjusted;
    /** Whether it is in slow start: nothing has yet shown that endpoints are at capacity. */
    boolean inSlowStart = true;
    /** Lowest ratio of a latency to its objective so far. */
    double lowestLatencyRatio = Double.MAX_VALUE;
    /** By how many the slow answers outnumber the quick ones during slow start, never below 0. */
    int slowAnswerExcess;
    /** Total weight of the endpoints that the limit was learned with. */
    double endpointWeight = 1;

    /** Whether a request may be admitted; {@code highPriority}: whether it may use the reserved part. */
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
     * The endpoint list has changed. A learned limit is scaled in proportion to the endpoints' total weight.
     *
     * @param readyCount number of ready endpoints
     * @param totalWeight their total weight
     * @param nodeCount number of nodes that share them
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
     * Adjusts the limit after an answer: a little up if it is in time while the limit is in use, much down if
     * it is late. A limit that stayed at its initial value would reject requests that idle endpoints could
     * serve; one that grew while little of it is used would say nothing about capacity (compare RFC 7661 for
     * TCP).
     *
     * <p>A node that has just started has a low limit, and may be the only node: until the first sign that
     * endpoints are at capacity, each answer raises it by one, so that it doubles with each round trip (slow
     * start, RFC 5681 section 3.1). An endpoint that rejects as full is such a sign. So are answers that took
     * half of their objective and twice the lowest ratio so far, once they outnumber the others by
     * {@value #SLOW_START_EXIT_COUNT}. A single slow answer says little: the first answers of a fresh fleet are
     * slow even
     * without load (RFC 9406 section 4.2 asks for eight samples).
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
     * An endpoint rejected a request as full. This ends slow start only: one may be chance, and the next has
     * capacity.
     */
    void onEndpointFull() {
        inSlowStart = false;
    }

    /** A second endpoint in a row rejected a request as full: more is admitted than they can take. */
    void onSecondEndpointFull() {
        decrease();
    }

    private void decrease() {
        adjusted = true;
        limit = Math.max(MIN_LIMIT, limit - (1 - TARGET_LATE_FRACTION));
    }
}
