package weldhitch.simulator.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Statistics of one run: by the second in which a request first arrived, by class, by server, and rejections and
 * failures by reason. Filled by the cluster, single-threaded; read when the run is over.
 */
public final class RunStatistics {
    private static final long MAX_LATENCY_US = 120_000_000L;

    /** The outcomes of a set of client requests, each counted once with all its client retries. */
    public static final class RequestStatistics {
        /** Number of client requests, not counting retries. */
        public long offered;
        /** Requests answered within the latency objective. */
        public long inTime;
        /** Requests answered after the latency objective. */
        public long late;

        public long rejected;
        public long failed;
        /** Requests that ended because no node accepted the client's last attempt. */
        public long unreachable;
        /** Attempts of clients, including the first one of each request. */
        public long clientAttempts;
        /** Attempts that nodes sent to servers for these requests. */
        public long nodeAttempts;
        /** Total priority weight of the requests. */
        public double weightOffered;
        /** Priority weight of the answered requests; late ones count with their late weight. */
        public double weightServed;
        /** Time from a client's first attempt to the answer, of the served requests, in microseconds. */
        public final Histogram latency = new Histogram(MAX_LATENCY_US, 2);

        /**
         * Returns the fraction of the offered priority weight that was served, including the late weight; 1 if none was
         * offered.
         */
        public double goodput() {
            return weightOffered == 0 ? 1 : weightServed / weightOffered;
        }

        /** Returns the fraction of requests answered within the latency objective; 1 if there were none. */
        public double inTimeFraction() {
            return offered == 0 ? 1 : (double) inTime / offered;
        }

        /** Returns the latency in milliseconds at a percentile (0 to 100); 0 if nothing was served. */
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
    /** Final answers of nodes other than success, by the balancer's reason. */
    public final Map<String, Long> unservedByCause = new TreeMap<>();
    /** Attempts that were sent to another zone. */
    public long crossZoneAttempts;
    /** Attempts per second, by the zone that they were sent to. */
    public final Map<String, long[]> attemptsByZone = new TreeMap<>();
    /** The largest number of priority level changes of a locality rule at any node. */
    public int maxLevelTransitions;
}
