package weldhitch.simulator.report;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Calculates the mean change of a metric over paired samples, with a confidence interval (Student's t over paired
 * differences). Stateless.
 */
public final class PairedDifference {
    /**
     * The two means, and the confidence interval of the mean change.
     *
     * @param low lower bound of the change
     * @param high upper bound of the change
     * @param seedCount number of pairs
     */
    public record MeanChange(double before, double after, double low, double high, int seedCount) {
        /** Returns whether the interval excludes 0. */
        public boolean isSignificant() {
            return low > 0 || high < 0;
        }
    }

    private PairedDifference() {}

    /**
     * Compares two arrays of the same length, two or more, pair by pair.
     *
     * @param confidence confidence level, between 0 and 1
     */
    public static MeanChange meanChange(double[] before, double[] after, double confidence) {
        SummaryStatistics statisticsBefore = new SummaryStatistics();
        SummaryStatistics statisticsAfter = new SummaryStatistics();
        SummaryStatistics differences = new SummaryStatistics();
        for (int i = 0; i < before.length; i++) {
            statisticsBefore.addValue(before[i]);
            statisticsAfter.addValue(after[i]);
            differences.addValue(after[i] - before[i]);
        }
        double quantile = new TDistribution(before.length - 1).inverseCumulativeProbability((1 + confidence) / 2);
        double halfWidth = quantile * differences.getStandardDeviation() / Math.sqrt(before.length);
        return new MeanChange(
                statisticsBefore.getMean(),
                statisticsAfter.getMean(),
                differences.getMean() - halfWidth,
                differences.getMean() + halfWidth,
                before.length);
    }
}
