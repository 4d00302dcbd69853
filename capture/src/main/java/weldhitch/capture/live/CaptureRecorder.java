package weldhitch.capture.live;

import java.io.Closeable;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agrona.concurrent.OneToOneConcurrentArrayQueue;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureItem;
import weldhitch.capture.format.SegmentWriter;
import weldhitch.capture.policy.CaptureLimits;
import weldhitch.capture.policy.TapPolicy;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.balancing.IncrementalSnapshot;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.settings.BalancerSettings;

/**
 * Records the events of a running node. The node's event loop reports each event; a dedicated thread writes
 * them. The event loop never waits: events that the writer cannot keep up with are dropped and counted, and
 * recording resumes with a snapshot. Not thread-safe: {@link #beforeEvent}, {@link #afterEvent},
 * {@link #onEventFailed} and {@link #completeSnapshot} must be called on the event loop's thread.
 */
public final class CaptureRecorder implements Closeable {
    private static final long START_TIMEOUT_MILLIS = 1_000;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;
    /** Number of endpoints of a snapshot that are saved before each event; takes about 0.1 ms of the event loop. */
    private static final int SNAPSHOT_BATCH_ENDPOINTS = 256;

    private static final AtomicInteger RUN_COUNTER = new AtomicInteger();

    private final String node;
    private final String runId;
    private final String build;
    private final BalancerSettings settings;
    private final Supplier<IncrementalSnapshot> snapshotSource;
    private final TapPolicy policy;
    private final OneToOneConcurrentArrayQueue<CaptureItem> queue;
    private final CaptureWriter writer;
    private final Thread thread;
    private TapPolicy.Decision decision = TapPolicy.Decision.DROP;
    /** The snapshot started last; null before the first. */
    private IncrementalSnapshot snapshotInProgress;

    /**
     * Starts the writer and waits at most one second for its first file, so that the file contains the events that
     * follow. Disk errors are reported to {@code log}, one line each, and do not end the capture.
     *
     * @param directory must not be used by any other node
     * @param snapshotSource starts a snapshot of the balancer's state; called on the thread that reports events
     */
    public CaptureRecorder(
            Path directory,
            CaptureLimits limits,
            String node,
            String build,
            BalancerSettings settings,
            Supplier<IncrementalSnapshot> snapshotSource,
            Consumer<String> log) {
        this.node = node;
        this.runId = Long.toHexString(System.currentTimeMillis()) + "-"
                + ProcessHandle.current().pid() + "-" + RUN_COUNTER.getAndIncrement();
        this.build = build;
        this.settings = settings;
        this.snapshotSource = snapshotSource;
        policy = new TapPolicy(limits.snapshotInterval(), limits.queueCapacity());
        queue = new OneToOneConcurrentArrayQueue<>(limits.queueCapacity());
        writer = new CaptureWriter(directory, limits, queue, SegmentWriter::new, log);
        thread = new Thread(writer, "capture");
        thread.setDaemon(true);
        thread.start();
        try {
            writer.awaitStart(START_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Decides whether to enqueue or drop the next event, and starts a snapshot if one is due. To be called before
     * each event.
     */
    public void beforeEvent(long timestamp) {
        if (snapshotInProgress != null && !snapshotInProgress.complete()) {
            snapshotInProgress.saveNext(SNAPSHOT_BATCH_ENDPOINTS);
        }
        decision = policy.decide(timestamp, queue.size(), writer.isReady(), writer.snapshotRequests());
        if (decision == TapPolicy.Decision.SNAPSHOT_FIRST) {
            snapshotInProgress = snapshotSource.get();
            snapshotInProgress.saveNext(SNAPSHOT_BATCH_ENDPOINTS);
            queue.offer(new SnapshotInProgress(
                    timestamp, node, runId, build, settings, snapshotInProgress, policy.takeDropped()));
        }
    }

    /**
     * Saves the rest of a snapshot in progress when no more events follow. To be called on the thread that
     * reported the events, before {@link #close}.
     */
    public void completeSnapshot() {
        if (snapshotInProgress != null) {
            snapshotInProgress.saveNext(Integer.MAX_VALUE);
        }
    }

    /** Enqueues an event with its actions, to be called after each event; neither may be modified afterwards. */
    public void afterEvent(long timestamp, BalancerEvent event, List<BalancerAction> actions) {
        if (decision != TapPolicy.Decision.DROP) {
            queue.offer(new CaptureEntry.EventRecord(timestamp, event, actions));
        }
    }

    /**
     * Drops the event because the balancer failed on it; the next one needs a snapshot. To be called instead of
     * {@link #afterEvent}.
     */
    public void onEventFailed(long timestamp) {
        if (decision != TapPolicy.Decision.DROP) {
            policy.onEventFailed(timestamp);
        }
    }

    /** Returns the number of entries that wait for the writer. */
    public int queuedItems() {
        return queue.size();
    }

    /** Stops the writer after it has written the queued entries; waits at most one second for it. */
    @Override
    public void close() {
        writer.stop();
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
