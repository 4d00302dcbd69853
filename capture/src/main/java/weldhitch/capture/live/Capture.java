package weldhitch.capture.live;

import java.io.Closeable;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agrona.concurrent.OneToOneConcurrentArrayQueue;
import weldhitch.capture.format.Entry;
import weldhitch.capture.format.Handed;
import weldhitch.capture.format.SegmentWriter;
import weldhitch.capture.policy.CaptureRules;
import weldhitch.capture.policy.TapPlan;
import weldhitch.decision.Balancing.Action;
import weldhitch.decision.Balancing.Event;
import weldhitch.decision.Balancing.Settings;
import weldhitch.decision.SnapshotInParts;

/**
 * A capture that is on. The node's event loop tells it of each event; a thread of its own writes. The loop never waits:
 * what the writer can't keep up with is left out and counted, and goes on from a snapshot.
 */
public final class Capture implements Closeable {
    private static final long BEGINNING_MS = 1_000;
    private static final long CLOSING_MS = 1_000;
    /** Servers of a snapshot saved ahead of one event: some 0.1 ms of the loop's time. */
    private static final int SERVERS_AT_ONCE = 256;
    private static final AtomicInteger RUNS = new AtomicInteger();

    private final String node;
    private final String run;
    private final String build;
    private final Settings settings;
    private final Supplier<SnapshotInParts> snapshots;
    private final TapPlan plan;
    private final OneToOneConcurrentArrayQueue<Handed> queue;
    private final Writer writer;
    private final Thread thread;
    private TapPlan.Step step = TapPlan.Step.LEAVE_OUT;
    /** The snapshot begun last; null before the first. */
    private SnapshotInParts growing;

    /**
     * Starts the writer and waits a second at most for its first file, so that what comes next is in it. What goes wrong with the disk is said in {@code log}, one line at a time, and ends nothing.
     *
     * @param directory for this node alone
     * @param snapshots begins a snapshot of what the module knows; asked on the thread that tells of events
     */
    public Capture(Path directory, CaptureRules rules, String node, String build, Settings settings, Supplier<SnapshotInParts> snapshots,
            Consumer<String> log) {
        this.node = node;
        this.run = Long.toHexString(System.currentTimeMillis()) + "-" + ProcessHandle.current().pid() + "-" + RUNS.getAndIncrement();
        this.build = build;
        this.settings = settings;
        this.snapshots = snapshots;
        plan = new TapPlan(rules.snapshotEvery(), rules.queue());
        queue = new OneToOneConcurrentArrayQueue<>(rules.queue());
        writer = new Writer(directory, rules, queue, SegmentWriter::new, log);
        thread = new Thread(writer, "capture");
        thread.setDaemon(true);
        thread.start();
        try {
            writer.awaitBegin(BEGINNING_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ahead of each event: whether what the module knows now is to be kept, or what follows can be read without. */
    public void before(long now) {
        if (growing != null && !growing.complete()) {
            growing.more(SERVERS_AT_ONCE);
        }
        step = plan.next(now, queue.size(), writer.writing(), writer.wishes());
        if (step == TapPlan.Step.SNAPSHOT_FIRST) {
            growing = snapshots.get();
            growing.more(SERVERS_AT_ONCE);
            queue.offer(new Growing(now, node, run, build, settings, growing, plan.missed()));
        }
    }

    /** Nothing more is told: saves what a snapshot still lacks. To be called by the thread that told, before {@link #close}. */
    public void settle() {
        if (growing != null) {
            growing.more(Integer.MAX_VALUE);
        }
    }

    /** Behind each event, what was decided on it. Neither may change any more. */
    public void told(long now, Event event, List<Action> actions) {
        if (step != TapPlan.Step.LEAVE_OUT) {
            queue.offer(new Entry.Told(now, event, actions));
        }
    }

    /** In place of {@link #told} where the module failed on the event: what follows needs a snapshot. */
    public void failed(long now) {
        if (step != TapPlan.Step.LEAVE_OUT) {
            plan.failed(now);
        }
    }

    /** Entries that wait for the writer. */
    public int waiting() {
        return queue.size();
    }

    /** Writes what is in the queue and ends the writer; waits a second for it at most. */
    @Override
    public void close() {
        writer.end();
        try {
            thread.join(CLOSING_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
