package weldhitch.fleet.locality;

/**
 * Events per second, as a count that decays exponentially: an event of one second ago counts 1/e. Not
 * thread-safe.
 */
final class Rate {
    private static final double OVER = 1e9;

    private double count;
    private long at;

    /** Counts one event. */
    void add(long now) {
        decay(now);
        count++;
    }

    /** The rate at {@code now}. */
    double perSecond(long now) {
        decay(now);
        return count;
    }

    private void decay(long now) {
        if (now > at) {
            count = count < 1e-9 ? 0 : count * Math.exp((at - now) / OVER);
            at = now;
        }
    }
}
