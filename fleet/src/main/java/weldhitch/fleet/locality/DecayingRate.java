package weldhitch.fleet.locality;

/**
 * A rate of events per second, computed as a count that decays exponentially: an event one second ago counts 1/e. Not
 * thread-safe. Times are nanoseconds.
 */
final class DecayingRate {
    private static final double DECAY_NANOS = 1e9;

    private double count;
    private long updatedAt;

    /** Counts one event. */
    void increment(long now) {
        decay(now);
        count++;
    }

    /** Returns the rate at {@code now}, in events per second. */
    double perSecond(long now) {
        decay(now);
        return count;
    }

    private void decay(long now) {
        if (now > updatedAt) {
            count = count < 1e-9 ? 0 : count * Math.exp((updatedAt - now) / DECAY_NANOS);
            updatedAt = now;
        }
    }
}
