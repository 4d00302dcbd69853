package weldhitch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Setup;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.balancing.IncrementalSnapshot;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.FlatSettingsParser;

/**
 * Measures how long taking a snapshot of the balancer blocks the event loop. The servers have latency samples (4 for
 * each server on average, at most 4000 in all), and 500 requests are open with one attempt each.
 */
public class SnapshotBenchmark extends AverageTimeBenchmark {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int OPEN_REQUESTS = 500;

    @Param({"16", "74", "1000", "10000"})
    private int servers;

    private RatioBalancer balancer;
    private IncrementalSnapshot snapshotInProgress;

    /** Creates the balancer, records the latency samples and leaves 500 requests open. */
    @Setup
    public void setUpBalancer() {
        BalancerSettings settings = new FlatSettingsParser(Map.of(
                        "classes.count",
                        "1",
                        "classes.0.name",
                        "read",
                        "layer",
                        "1",
                        "classes.0.effect",
                        "read_like",
                        "classes.0.aimS",
                        "1",
                        "classes.0.deadlineS",
                        "1000",
                        "limits.maxAttempts",
                        "3"))
                .settings();
        balancer = new RatioBalancer(settings, 1);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(
                    new EndpointEntry("s-" + Integer.toHexString(i * 0x9E3779B1), "", 0, EndpointState.READY, 1, 0));
        }
        long now = 1_000_000_000_000L;
        balancer.handle(now, new EndpointsChanged(EndpointUpdateKind.FULL, entries));
        for (int i = 0; i < Math.min(4 * servers, 4000) + OPEN_REQUESTS; i++) {
            now += NANOS_PER_MILLI;
            String requestId = String.format("%016x", i * 0x9E3779B97F4A7C15L);
            for (BalancerAction action : balancer.handle(
                    now, new RequestArrived(requestId, "read", now + 1_000_000 * NANOS_PER_MILLI, null, 0, false))) {
                if (action instanceof SendAttempt send && i < Math.min(4 * servers, 4000)) {
                    balancer.handle(
                            now + 5 * NANOS_PER_MILLI,
                            new AttemptEnded(
                                    requestId,
                                    0,
                                    send.endpointId(),
                                    AttemptOutcome.OK,
                                    5 * NANOS_PER_MILLI,
                                    true,
                                    null));
                }
            }
        }
    }

    /** Takes a complete snapshot in one step. */
    @Benchmark
    public Object snapshot() {
        return balancer.snapshot();
    }

    /** Completes the snapshot that the previous invocation began; not part of the measurement. */
    @Setup(Level.Invocation)
    public void finishPrevious() {
        if (snapshotInProgress != null) {
            snapshotInProgress.saveNext(Integer.MAX_VALUE);
        }
    }

    /** Begins an incremental snapshot and saves the first 256 endpoints, which is done before a single event. */
    @Benchmark
    public Object beginSnapshot() {
        snapshotInProgress = balancer.beginSnapshot();
        snapshotInProgress.saveNext(256);
        return snapshotInProgress;
    }
}
