package weldhitch.client.policy;

/** What answers of a class take: a running mean, and the quickest of late. Nanoseconds. */
final class Latency {
    private static final double STEP = 0.1;
    /** The quickest is forgotten by so much of its distance to the mean at each answer. */
    private static final double FORGET = 0.02;

    private double mean;
    private double quickest;

    void answered(long took) {
        mean = mean == 0 ? took : mean + STEP * (took - mean);
        quickest = quickest == 0 ? took : Math.min(took, quickest + FORGET * Math.max(0, mean - quickest));
    }

    /** After so long an answer is overdue. */
    long patience() {
        return (long) (4 * mean);
    }

    /** Below this a try can't end in time; 0 while nothing is known. */
    long least() {
        return (long) quickest;
    }
}
