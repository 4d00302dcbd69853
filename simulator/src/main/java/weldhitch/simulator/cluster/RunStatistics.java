package weldhitch.simulator.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Statistics of one run: by second of the arrival of first tries, by class, by server, and rejections and
 * failures by reason. Filled by the cluster, single-threaded; read when the run is over.
 */
public final class RunStatistics {
    private static final long MAX_LATENCY_US = 120_000_000L;

    /** What became of a set of first tries. */
    public static final class RequestStatistics {
        /** First tries. */
        public long offered;
        /** Answered within the latency objective. */
        public long inTime;
        /** Answered after it. */
        public long late;

        public long rejected;
        public long failed;
        /** Ended without a node that would accept the last try. */
        public long unreachable;
        /** Tries of clients, the first included. */
        public long clientAttempts;
        /** Attempts of nodes for them. */
        public long nodeAttempts;
        /** Priority weight of all first tries. */
        public double weightOffered;
        /** Priority weight of those answered, with late weight for late ones. */
        public double weightServed;
        /** Microseconds from a first try to its answer, of those served. */
        public final Histogram latency = new Histogram(MAX_LATENCY_US, 2);

        /**
         * The fraction of the offered priority weight that was served, late weight included; 1 if none was
         * offered.
         */
        public double goodput() {
            return weightOffered == 0 ? 1 : weightServed / weightOffered;
        }

        /** The fraction of first tries that was answered within the latency objective; 1 if there were none. */
        public double inTimeFraction() {
            return offered == 0 ? 1 : (double) inTime / offered;
        }

        /** Latency in milliseconds at a percentile (0 to 100); 0 if nothing was served. */
        public double latencyMs(double percentile) {
            return latency.getTotalCount() == 0 ? 0 : latency.getValueAtPercentile(percentile) / 1000.0;
        }

        void recordLatency(long nanos) {
            latency.recordValue(Math.min(MAX_LATENCY_US, nanos / 1000));
        }
    }

    public final RequestStatistics total = new RequestStatistics();
    public final List<RequestStatistics> bySecond = new ArrayList<>();
    public final Map<String, RequestStatistics> byClass = new LinkedHashMap<>();
    public final Map<String, Long> attemptsByServer = new TreeMap<>();
    /** Final answers of nodes other than success, by the reason of the balancer. */
    public final Map<String, Long> unservedByCause = new TreeMap<>();
    /** Attempts that went to another zone. */
    public long crossZoneAttempts;
    /** Attempts by the zone that they went to, by second. */
    public final Map<String, long[]> attemptsByZone = new TreeMap<>();
    /** The largest number of priority level changes of a locality rule at any node. */
    public int maxLevelTransitions;
}
