package weldhitch.decision.balancing;

/**
 * Counts the failures of an endpoint or zone since its last successful attempt, with exponential decay, and converts
 * the count to a weight factor (Küting et al., section 3.4; the formula is not from the paper). Times are
 * nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class DecayingFailureCount {
    /** Time constant of the decay, in nanoseconds. */
    private static final double DECAY_NANOS = 5e9;
    /** Lower bound of the factor, so that a failed endpoint is still tried sometimes. */
    static final double MIN_WEIGHT_FACTOR = 0.02;

    double count;
    long updatedAt;

    void add(long now) {
        count = currentCount(now) + 1;
        updatedAt = now;
    }

    void clear() {
        count = 0;
    }

    private double currentCount(long now) {
        return count == 0 ? 0 : count * Math.exp((updatedAt - now) / DECAY_NANOS);
    }

    /** Returns the weight factor: 1 without failures, lower with each, never below {@link #MIN_WEIGHT_FACTOR}. */
    double weightFactor(long now) {
        double failures = currentCount(now);
        return Math.max(MIN_WEIGHT_FACTOR, 1 / (1 + failures * failures));
    }
}
