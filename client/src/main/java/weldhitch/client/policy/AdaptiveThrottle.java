package weldhitch.client.policy;

/**
 * Client-side adaptive throttling for one node and request class. Rejects locally with probability max(0, (requests -
 * K * accepts - 5) / (requests + 1)), where K is the multiplier and the counts decay exponentially (Beyer et al., Site
 * Reliability Engineering, chapter 21, "Client-Side Throttling"). The constant 5 is not in the book: without it, one
 * rejection of one request would throttle half of the following requests. A request is counted when it is rejected,
 * accepted or throttled, because nothing is known while its response is outstanding. Single-threaded.
 */
final class AdaptiveThrottle {
    /** Time constant of the decay in nanoseconds. */
    private static final double DECAY_NANOS = 30e9;

    private static final double REJECTION_ALLOWANCE = 5;

    private final double multiplier;
    private double requests;
    private double accepts;
    private long decayedAt;

    AdaptiveThrottle(double multiplier) {
        this.multiplier = multiplier;
    }

    /** Returns the probability with which to reject a request locally now. */
    double rejectionProbability(long now) {
        decay(now);
        return Math.max(0, (requests - multiplier * accepts - REJECTION_ALLOWANCE) / (requests + 1));
    }

    /** Records that the node rejected a request, or that a request was throttled locally. */
    void recordRejection(long now) {
        decay(now);
        requests++;
    }

    /** Records that the node accepted a request, whatever its result. */
    void recordAccept(long now) {
        decay(now);
        requests++;
        accepts++;
    }

    private void decay(long now) {
        if (now > decayedAt) {
            double factor = Math.exp((decayedAt - now) / DECAY_NANOS);
            requests *= factor;
            accepts *= factor;
            decayedAt = now;
        }
    }
}
