package weldhitch.lab.report;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/** A figure before and after, seed by seed: its mean change, with a confidence interval (Student's t over paired differences). */
public final class Paired {
    /** The means, and the interval in which the mean change lies. */
    public record Change(double before, double after, double low, double high, int seeds) {
        /** Whether the interval leaves out 0. */
        public boolean differs() {
            return low > 0 || high < 0;
        }
    }

    private Paired() {
    }

    /** @param confidence between 0 and 1; the arrays are of one length, two or more */
    public static Change change(double[] before, double[] after, double confidence) {
        SummaryStatistics had = new SummaryStatistics();
        SummaryStatistics has = new SummaryStatistics();
        SummaryStatistics change = new SummaryStatistics();
        for (int i = 0; i < before.length; i++) {
            had.addValue(before[i]);
            has.addValue(after[i]);
            change.addValue(after[i] - before[i]);
        }
        double t = new TDistribution(before.length - 1).inverseCumulativeProbability((1 + confidence) / 2);
        double half = t * change.getStandardDeviation() / Math.sqrt(before.length);
        return new Change(had.getMean(), has.getMean(), change.getMean() - half, change.getMean() + half, before.length);
    }
}
