package weldhitch.client.policy;

/**
 * Client-side adaptive throttling, for one node and request class: rejects locally with probability max(0,
 * (requests - K accepts - 5) / (requests + 1)), over counts that decay exponentially (Beyer et al., Site
 * Reliability Engineering, chapter 21, "Client-Side Throttling"; the 5 is this project's, as one rejection of
 * one request would otherwise throttle half of what comes next). A request counts when it is rejected, accepted
 * or throttled: while its response is outstanding nothing is known. Single-threaded.
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

    /** The probability with which to reject locally now. */
    double rejectionProbability(long now) {
        decay(now);
        return Math.max(0, (requests - multiplier * accepts - REJECTION_ALLOWANCE) / (requests + 1));
    }

    /** The node rejected a request, or it was throttled here. */
    void recordRejection(long now) {
        decay(now);
        requests++;
    }

    /** The node accepted a request, whatever its result. */
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
