package weldhitch.decision;

/**
 * Counts the failures of an endpoint or zone since its last served call, with exponential decay, and turns the
 * count into a weight factor (Küting et al., section 3.4; the curve is our own). Times are nanoseconds. Not
 * thread-safe; owned by the balancer's thread.
 */
final class Failures {
    /** Time constant of the decay, in nanoseconds. */
    private static final double FADE = 5e9;
    /** Lower bound of the factor, so that a failed endpoint is still tried sometimes. */
    static final double LEAST_CHANCE = 0.02;

    double count;
    long at;

    void add(long now) {
        count = countNow(now) + 1;
        at = now;
    }

    void clear() {
        count = 0;
    }

    private double countNow(long now) {
        return count == 0 ? 0 : count * Math.exp((at - now) / FADE);
    }

    /** Returns the weight factor: 1 without failures, lower with each, never below {@link #LEAST_CHANCE}. */
    double factor(long now) {
        double failures = countNow(now);
        return Math.max(LEAST_CHANCE, 1 / (1 + failures * failures));
    }
}
