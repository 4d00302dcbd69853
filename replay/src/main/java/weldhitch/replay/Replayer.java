package weldhitch.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.DocumentCodec;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.balancing.DecisionListener;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * Replays a capture with this build's balancer and compares each decision with the captured one. The replay starts at
 * the first snapshot. After dropped events, corruption, a divergence or the start of another run, it restarts at the
 * next snapshot. At any other snapshot, it compares the balancer's state with the snapshot. Not thread-safe; one thread
 * passes the entries in order.
 */
public final class Replayer implements Consumer<CaptureEntry> {
    /** Listens to each replayed event, snapshot and corruption, on the thread that passes the entries. */
    public interface Listener {
        /** Called before the event is replayed. */
        default void beforeReplay(CaptureEntry.EventRecord eventRecord) {}

        /**
         * Called after the event was replayed and before its actions are compared.
         *
         * @param eventNumber the number of the event, counted from 1
         * @param actions the actions that this build decided
         */
        default void afterReplay(
                long eventNumber, CaptureEntry.EventRecord eventRecord, List<BalancerAction> actions) {}

        /**
         * Called at each snapshot.
         *
         * @param restored whether the replay starts or restarts here, because nothing was replayed before or because a
         *     gap or divergence precedes the snapshot
         */
        default void onSnapshot(CaptureEntry.SnapshotRecord snapshotRecord, boolean restored) {}

        /** Called for each part of a file that cannot be read. */
        default void onCorruption(CaptureEntry.Corruption corruption) {}
    }

    /**
     * A point at which the replay diverges from the capture. Immutable.
     *
     * @param eventNumber the number of the event, counted from 1
     * @param timestamp the node's clock, in nanoseconds
     * @param captured the captured event with its actions; null if the divergence is at a snapshot
     * @param replayedActions the actions that this build decides
     * @param description the description for people
     */
    public record Divergence(
            long eventNumber,
            long timestamp,
            CaptureEntry.EventRecord captured,
            List<BalancerAction> replayedActions,
            String description) {}

    private final DecisionListener decisionListener;
    private boolean restoreAtEachSnapshot;
    /** Whether {@code routeOverride} replaces the captured routes. */
    private boolean routesOverridden;

    private RouteTable routeOverride;
    private final List<Listener> listeners;
    private final List<Divergence> divergences = new ArrayList<>();
    private RatioBalancer balancer;
    private String runId;
    private long replayedEvents;
    private long skippedEvents;
    private long actionCount;
    private long snapshotCount;
    private long restores;
    private long corruptions;
    private long droppedEvents;
    private long firstTimestamp = Long.MAX_VALUE;
    private long lastTimestamp = Long.MIN_VALUE;
    private boolean finished;
    private long firstSnapshot = 1;
    private long lastEvent = Long.MAX_VALUE;
    private long endTimestamp = Long.MAX_VALUE;

    /**
     * Creates a replayer of a complete capture.
     *
     * @param decisionListener receives the balancer's decision reasons, or null
     * @param restoreAtEachSnapshot whether to restore the balancer from each snapshot instead of comparing its state
     *     with the snapshot
     * @param listeners receive each replayed event, snapshot and corruption
     */
    public Replayer(DecisionListener decisionListener, boolean restoreAtEachSnapshot, Listener... listeners) {
        this.decisionListener = decisionListener;
        this.restoreAtEachSnapshot = restoreAtEachSnapshot;
        this.listeners = List.of(listeners);
    }

    /** Starts the replay at this snapshot, counted from 1. */
    public Replayer startingAtSnapshot(long snapshotNumber) {
        firstSnapshot = snapshotNumber;
        return this;
    }

    /**
     * Ends the replay after this event, counted from 1, or before the first event with a later timestamp (nanoseconds
     * of the node's clock), whichever comes first.
     */
    public Replayer endingAt(long eventNumber, long timestamp) {
        lastEvent = eventNumber;
        endTimestamp = timestamp;
        return this;
    }

    /**
     * Replays with these routes (null for none) instead of the captured ones. The balancer is restored at each
     * snapshot, so that each section between two snapshots shows where decisions first diverge. Requests that are in
     * flight at a snapshot keep their route policies.
     */
    public Replayer withRoutes(RouteTable replacement) {
        routesOverridden = true;
        restoreAtEachSnapshot = true;
        routeOverride = replacement;
        return this;
    }

    @Override
    public void accept(CaptureEntry entry) {
        if (entry instanceof CaptureEntry.EventRecord eventRecord) {
            if (replayedEvents + skippedEvents >= lastEvent || eventRecord.timestamp() > endTimestamp) {
                finished = true;
            }
            if (!finished) {
                onEvent(eventRecord);
            }
        } else if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord && !finished) {
            onSnapshot(snapshotRecord);
        } else if (entry instanceof CaptureEntry.Corruption corruption && !finished) {
            corruptions++;
            balancer = null;
            listeners.forEach(l -> l.onCorruption(corruption));
        }
    }

    private void onSnapshot(CaptureEntry.SnapshotRecord snapshotRecord) {
        if (++snapshotCount < firstSnapshot) {
            return;
        }
        droppedEvents +=
                snapshotRecord.dropped() == null ? 0 : snapshotRecord.dropped().events();
        boolean continuous = balancer != null
                && snapshotRecord.dropped() == null
                && snapshotRecord.runId().equals(runId);
        if (continuous && !restoreAtEachSnapshot) {
            JsonNode replayedState = DocumentCodec.toTree(balancer.snapshot());
            String difference = firstDifference("", replayedState, DocumentCodec.toTree(snapshotRecord.snapshot()));
            if (difference != null) {
                recordDivergence(
                        snapshotRecord.timestamp(),
                        null,
                        List.of(),
                        "the state differs from the snapshot: " + difference);
                continuous = false;
            }
        }
        if (!continuous || restoreAtEachSnapshot) {
            restores++;
            runId = snapshotRecord.runId();
            try {
                balancer =
                        RatioBalancer.restore(snapshotRecord.settings(), snapshotRecord.snapshot(), decisionListener);
                if (routesOverridden) {
                    balancer.handle(snapshotRecord.timestamp(), new RoutesChanged(routeOverride));
                }
            } catch (IllegalArgumentException e) {
                balancer = null;
                recordDivergence(snapshotRecord.timestamp(), null, List.of(), "invalid snapshot: " + e.getMessage());
            }
        }
        boolean restored = !continuous;
        listeners.forEach(l -> l.onSnapshot(snapshotRecord, restored));
    }

    private void onEvent(CaptureEntry.EventRecord eventRecord) {
        if (balancer == null) {
            skippedEvents++;
            return;
        }
        replayedEvents++;
        if (routesOverridden && eventRecord.event() instanceof RoutesChanged) {
            return;
        }
        firstTimestamp = Math.min(firstTimestamp, eventRecord.timestamp());
        lastTimestamp = Math.max(lastTimestamp, eventRecord.timestamp());
        listeners.forEach(l -> l.beforeReplay(eventRecord));
        List<BalancerAction> replayed = balancer.handle(eventRecord.timestamp(), eventRecord.event());
        actionCount += replayed.size();
        listeners.forEach(l -> l.afterReplay(replayedEvents + skippedEvents, eventRecord, replayed));
        if (!replayed.equals(eventRecord.actions())) {
            recordDivergence(eventRecord.timestamp(), eventRecord, replayed, "decisions differ");
            // Later decisions would diverge as a consequence, so the replay restarts at the next snapshot.
            balancer = null;
        }
    }

    private void recordDivergence(
            long timestamp, CaptureEntry.EventRecord captured, List<BalancerAction> replayed, String description) {
        divergences.add(new Divergence(replayedEvents + skippedEvents, timestamp, captured, replayed, description));
    }

    /** Returns the first difference of two trees, as a path with both values, or null if they are equal. */
    private static String firstDifference(String path, JsonNode replayed, JsonNode captured) {
        if (replayed.equals(captured)) {
            return null;
        }
        if (replayed.isObject() && captured.isObject()) {
            for (Map.Entry<String, JsonNode> field : replayed.properties()) {
                String difference =
                        firstDifference(path + "/" + field.getKey(), field.getValue(), captured.path(field.getKey()));
                if (difference != null) {
                    return difference;
                }
            }
        }
        if (replayed.isArray() && captured.isArray() && replayed.size() == captured.size()) {
            for (int i = 0; i < replayed.size(); i++) {
                String difference = firstDifference(path + "/" + i, replayed.get(i), captured.get(i));
                if (difference != null) {
                    return difference;
                }
            }
        }
        return path + ": " + replayed + " in the replay, " + captured + " in the capture";
    }

    /** Returns the balancer's state after the last replayed event; null if the replay awaits the next snapshot. */
    public BalancerSnapshot snapshot() {
        return balancer == null ? null : balancer.snapshot();
    }

    /** Returns the divergences found so far, in order. */
    public List<Divergence> divergences() {
        return List.copyOf(divergences);
    }

    /** Returns the number of events that were replayed and compared with the capture. */
    public long replayedEvents() {
        return replayedEvents;
    }

    /** Returns the number of events that could not be replayed because no usable snapshot preceded them. */
    public long skippedEvents() {
        return skippedEvents;
    }

    /** Returns the number of actions that this build decided on. */
    public long actionCount() {
        return actionCount;
    }

    /** Returns the number of snapshots read. */
    public long snapshotCount() {
        return snapshotCount;
    }

    /** Returns the number of times that the balancer was restored from a snapshot. */
    public long restores() {
        return restores;
    }

    /** Returns the number of parts of the capture that could not be read. */
    public long corruptions() {
        return corruptions;
    }

    /** Returns the number of events that the capture reports as dropped. */
    public long droppedEvents() {
        return droppedEvents;
    }

    /** Returns the time from the first replayed event to the last, in nanoseconds; 0 if there was none. */
    public long duration() {
        return Math.max(0, lastTimestamp - firstTimestamp);
    }

    /**
     * Returns the node's clock at the first replayed event, in nanoseconds; {@link Long#MAX_VALUE} if there was
     * none.
     */
    public long firstTimestamp() {
        return firstTimestamp;
    }
}
