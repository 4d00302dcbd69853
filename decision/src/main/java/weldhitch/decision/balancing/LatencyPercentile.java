package weldhitch.decision.balancing;

import java.util.Arrays;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * A percentile of a route's last latencies. It is the delay after which the route's hedged requests are sent. Mutable;
 * owned by the balancer's thread.
 */
final class LatencyPercentile {
    /** Number of latencies over which the percentile is computed; sufficient for the highest percentile allowed. */
    static final int WINDOW = BalancerSnapshot.LatencyPercentileSnapshot.WINDOW;
    /** Number of samples after which the percentile is recomputed. */
    private static final int REFRESH_INTERVAL = 32;

    final HedgeAtPercentile hedging;
    /** Allocated at the first sample, because most routes of a large file have little or no traffic. */
    long[] samples;

    long sampleCount;
    long percentile;

    LatencyPercentile(HedgeAtPercentile hedging) {
        this.hedging = hedging;
    }

    void add(long latency) {
        samples = samples == null ? new long[WINDOW] : samples;
        samples[(int) (sampleCount++ % WINDOW)] = latency;
        if (sampleCount >= hedging.minSamples() && (percentile == 0 || sampleCount % REFRESH_INTERVAL == 0)) {
            long[] sorted = Arrays.copyOf(samples, (int) Math.min(sampleCount, WINDOW));
            Arrays.sort(sorted);
            int index = (int) Math.ceil(hedging.percentile() / 100 * sorted.length) - 1;
            percentile = Math.max(1, sorted[Math.max(0, Math.min(sorted.length - 1, index))]);
        }
    }

    /** Returns the percentile in nanoseconds; 0 until there are enough samples. */
    long percentile() {
        return percentile;
    }
}
