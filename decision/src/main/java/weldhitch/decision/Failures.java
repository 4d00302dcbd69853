package weldhitch.decision;

/** Failures since the last served call, fading with time. Times are nanoseconds. */
final class Failures {
    /** Time in which a count loses most of its height. */
    private static final double FADE = 5e9;
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

    /** What they leave of a chance: less with each, never nothing. */
    double factor(long now) {
        double failures = countNow(now);
        return Math.max(LEAST_CHANCE, 1 / (1 + failures * failures));
    }
}
