package weldhitch.decision;

import java.util.Arrays;
import weldhitch.decision.RouteRules.HedgePercentile;

/** A percentile of the last answers' latencies. */
final class Latencies {
    /** Answers that it is taken over; as many as the highest percentile needs. */
    static final int KEPT = 1024;
    /** It is taken anew after so many answers. */
    private static final int FRESH = 32;

    final HedgePercentile wanted;
    /** Made at the first answer: most of a large file's routes see little traffic or none. */
    long[] last;
    long seen;
    long percentile;

    Latencies(HedgePercentile wanted) {
        this.wanted = wanted;
    }

    void add(long latency) {
        last = last == null ? new long[KEPT] : last;
        last[(int) (seen++ % KEPT)] = latency;
        if (seen >= wanted.samples() && (percentile == 0 || seen % FRESH == 0)) {
            long[] sorted = Arrays.copyOf(last, (int) Math.min(seen, KEPT));
            Arrays.sort(sorted);
            int place = (int) Math.ceil(wanted.percentile() / 100 * sorted.length) - 1;
            percentile = Math.max(1, sorted[Math.max(0, Math.min(sorted.length - 1, place))]);
        }
    }

    /** In nanoseconds; 0 until enough answers have come. */
    long percentile() {
        return percentile;
    }
}
