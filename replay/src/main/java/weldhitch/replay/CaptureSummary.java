package weldhitch.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.balancing.DecisionListener;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;

/**
 * Counts the content of a capture while it is replayed: requests by class and result, rejections and failures by cause,
 * attempts and latencies by endpoint, and requests by time interval. The causes come from the replayed balancer. Not
 * thread-safe; called on the replaying thread.
 */
public final class CaptureSummary implements DecisionListener, Replayer.Listener {
    /**
     * The upper limit of recorded latencies, ten minutes in microseconds. Histograms keep two significant digits.
     */
    public static final long MAX_LATENCY_MICROS = 600_000_000L;

    /**
     * Counts of requests by result; {@code causes} counts the rejected and failed requests by reason. Mutable.
     */
    public static final class RequestCounts {
        public long arrived;
        public long onTime;
        public long late;
        public long rejected;
        public long failed;
        public long disconnected;
        public long attempts;
        public final Map<String, Long> causes = new TreeMap<>();

        /** Adds the other counts to these. */
        public void add(RequestCounts other) {
            arrived += other.arrived;
            onTime += other.onTime;
            late += other.late;
            rejected += other.rejected;
            failed += other.failed;
            disconnected += other.disconnected;
            attempts += other.attempts;
            other.causes.forEach((cause, count) -> causes.merge(cause, count, Long::sum));
        }

        private void countCause(DecisionReason reason, String kind) {
            causes.merge(kind + ": " + (reason == null ? "unknown" : reason.label()), 1L, Long::sum);
        }
    }

    /** Attempts, outcomes and latencies of one endpoint. Mutable. */
    public static final class EndpointStatistics {
        public long sends;
        public final Map<String, Long> outcomes = new TreeMap<>();
        private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 2);

        /**
         * Returns a percentile (0 to 100) of the latencies of served attempts, in milliseconds; 0 if there are
         * none.
         */
        public double latencyMillis(double percentile) {
            return latency.getTotalCount() == 0 ? 0 : latency.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    /** A request that has arrived but not ended, with the counts of the interval in which it arrived. */
    private record OpenRequest(String requestClass, long arrivedAt, RequestCounts interval) {}

    private final long intervalNanos;
    private final Map<String, OpenRequest> openRequests = new LinkedHashMap<>();
    private final Map<String, DecisionReason> reasons = new LinkedHashMap<>();
    private final Map<String, Long> latencyObjectives = new LinkedHashMap<>();
    /** Counts by request class; the key is "null" for requests without one. */
    public final Map<String, RequestCounts> byClass = new TreeMap<>();
    /** The statistics of each endpoint, by endpoint id. */
    public final Map<String, EndpointStatistics> byEndpoint = new TreeMap<>();
    /** The time from arrival to answer of served requests, in microseconds, by request class. */
    public final Map<String, Histogram> answerLatencies = new TreeMap<>();
    /** The counts of each interval; the key is the interval's start, in milliseconds since the first event. */
    public final Map<Long, RequestCounts> byInterval = new TreeMap<>();
    /** The descriptions of the parts of the capture that cannot be read. */
    public final List<String> corruptions = new ArrayList<>();

    private long firstTimestamp = Long.MIN_VALUE;

    /**
     * Creates an empty summary.
     *
     * @param intervalNanos the length of an interval of {@link #byInterval}, in nanoseconds
     */
    public CaptureSummary(long intervalNanos) {
        this.intervalNanos = intervalNanos;
    }

    @Override
    public void onPick(PickTrace trace) {}

    @Override
    public void onDecision(long timestamp, String requestId, DecisionReason reason) {
        if (reason != DecisionReason.ADMITTED && reason != DecisionReason.QUEUED) {
            reasons.put(requestId, reason);
        }
    }

    @Override
    public void onSnapshot(CaptureEntry.SnapshotRecord snapshotRecord, boolean restored) {
        snapshotRecord.settings().classes().forEach(c -> latencyObjectives.put(c.name(), c.latencyObjective()));
        if (restored) {
            openRequests.clear();
            reasons.clear();
        }
    }

    @Override
    public void onCorruption(CaptureEntry.Corruption corruption) {
        corruptions.add(corruption.toString());
    }

    @Override
    public void afterReplay(long eventNumber, CaptureEntry.EventRecord eventRecord, List<BalancerAction> actions) {
        firstTimestamp = firstTimestamp == Long.MIN_VALUE ? eventRecord.timestamp() : firstTimestamp;
        BalancerEvent event = eventRecord.event();
        if (event instanceof RequestArrived e && !openRequests.containsKey(e.requestId())) {
            RequestCounts interval = byInterval.computeIfAbsent(
                    (eventRecord.timestamp() - firstTimestamp) / intervalNanos * intervalNanos / 1_000_000,
                    k -> new RequestCounts());
            openRequests.put(e.requestId(), new OpenRequest(e.requestClass(), eventRecord.timestamp(), interval));
            countsOf(e.requestClass()).arrived++;
            interval.arrived++;
        } else if (event instanceof AttemptEnded e) {
            EndpointStatistics endpoint = statisticsOf(e.endpointId());
            endpoint.outcomes.merge(e.outcome().name().toLowerCase(Locale.ROOT).replace('_', ' '), 1L, Long::sum);
            if (e.outcome() == AttemptOutcome.OK) {
                endpoint.latency.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, e.latency() / 1000)));
            }
            if (e.requestFinished()) {
                recordAnswer(e.requestId(), eventRecord.timestamp());
            }
        } else if (event instanceof ResponseStarted e) {
            recordAnswer(e.requestId(), eventRecord.timestamp());
        } else if (event instanceof ClientDisconnected e) {
            endRequest(e.requestId(), (counts, reason) -> counts.disconnected++);
        }
        for (BalancerAction action : actions) {
            if (action instanceof SendAttempt a) {
                statisticsOf(a.endpointId()).sends++;
                OpenRequest openRequest = openRequests.get(a.requestId());
                if (openRequest != null) {
                    countsOf(openRequest.requestClass).attempts++;
                    openRequest.interval.attempts++;
                }
            } else if (action instanceof RejectRequest a) {
                endRequest(a.requestId(), (counts, reason) -> {
                    counts.rejected++;
                    counts.countCause(reason, "refused");
                });
            } else if (action instanceof FailRequest a) {
                endRequest(a.requestId(), (counts, reason) -> {
                    counts.failed++;
                    counts.countCause(reason, "failed");
                });
            }
        }
    }

    /** Applies the end of a request to the counts of its class and of its interval. */
    private interface CountUpdate {
        void apply(RequestCounts counts, DecisionReason reason);
    }

    private void recordAnswer(String requestId, long timestamp) {
        OpenRequest openRequest = openRequests.get(requestId);
        if (openRequest != null) {
            long latencyObjective = latencyObjectives.getOrDefault(openRequest.requestClass, 0L);
            boolean late = latencyObjective > 0 && timestamp - openRequest.arrivedAt > latencyObjective;
            answerLatencies
                    .computeIfAbsent(
                            String.valueOf(openRequest.requestClass), c -> new Histogram(MAX_LATENCY_MICROS, 2))
                    .recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, (timestamp - openRequest.arrivedAt) / 1000)));
            endRequest(requestId, (c, reason) -> {
                c.onTime += late ? 0 : 1;
                c.late += late ? 1 : 0;
            });
        }
    }

    private void endRequest(String requestId, CountUpdate update) {
        OpenRequest openRequest = openRequests.remove(requestId);
        DecisionReason reason = reasons.remove(requestId);
        if (openRequest != null) {
            update.apply(countsOf(openRequest.requestClass), reason);
            update.apply(openRequest.interval, reason);
        }
    }

    private RequestCounts countsOf(String requestClass) {
        return byClass.computeIfAbsent(String.valueOf(requestClass), c -> new RequestCounts());
    }

    private EndpointStatistics statisticsOf(String id) {
        return byEndpoint.computeIfAbsent(String.valueOf(id), s -> new EndpointStatistics());
    }
}
