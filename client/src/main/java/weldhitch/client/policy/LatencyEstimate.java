package weldhitch.client.policy;

/**
 * Estimates the latency of one request class, in nanoseconds: an exponentially weighted mean and a recent minimum.
 * Belongs to {@link CallStateMachine}, single-threaded.
 */
final class LatencyEstimate {
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Fraction of the distance to the mean by which the minimum rises with each response. */
    private static final double MINIMUM_DECAY = 0.02;

    private double mean;
    private double minimum;

    /** Records the latency of a response, in nanoseconds. */
    void record(long latency) {
        mean = mean == 0 ? latency : mean + SMOOTHING_FACTOR * (latency - mean);
        minimum = minimum == 0 ? latency : Math.min(latency, minimum + MINIMUM_DECAY * Math.max(0, mean - minimum));
    }

    /** Returns the latency in nanoseconds beyond which a response is overdue. */
    long responseTimeout() {
        return (long) (4 * mean);
    }

    /** Returns the remaining time in nanoseconds below which an attempt cannot succeed; 0 while nothing is known. */
    long minimum() {
        return (long) minimum;
    }
}
