package weldhitch.client.policy;

/**
 * Latency estimate of one request class: an exponentially weighted mean, and a recent minimum. Nanoseconds.
 * Belongs to {@link ClientCore}, single-threaded.
 */
final class Latency {
    private static final double STEP = 0.1;
    /** Fraction of the distance to the mean by which the minimum rises at each answer. */
    private static final double FORGET = 0.02;

    private double mean;
    private double quickest;

    /** Records the latency of a response, in nanoseconds. */
    void answered(long took) {
        mean = mean == 0 ? took : mean + STEP * (took - mean);
        quickest = quickest == 0 ? took : Math.min(took, quickest + FORGET * Math.max(0, mean - quickest));
    }

    /** A response that takes longer than this is overdue. */
    long patience() {
        return (long) (4 * mean);
    }

    /** An attempt with less time left than this cannot succeed; 0 while nothing is known. */
    long least() {
        return (long) quickest;
    }
}
