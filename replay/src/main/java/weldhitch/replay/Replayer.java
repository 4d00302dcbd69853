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
 * Replays a capture with this build's balancer and compares each decision with the captured one. Starts at the
 * first snapshot, and restarts at the next snapshot after dropped events, corruption or a divergence. Between
 * snapshots without such a gap, the balancer's state is compared with each snapshot as well. Not thread-safe:
 * one thread feeds it the entries in order.
 */
public final class Replayer implements Consumer<CaptureEntry> {
    /** Notified of each replayed event, snapshot and corruption, on the thread that feeds the entries. */
    public interface Listener {
        /** Called before the event is replayed. */
        default void beforeReplay(CaptureEntry.EventRecord eventRecord) {}

        /**
         * Called after the event was replayed, before its actions are compared.
         *
         * @param eventNumber of the event, from 1
         * @param actions what this build decided
         */
        default void afterReplay(
                long eventNumber, CaptureEntry.EventRecord eventRecord, List<BalancerAction> actions) {}

        /**
         * Called at each snapshot.
         *
         * @param restored whether replay restarts here: nothing was replayed before, or a gap or divergence
         *     precedes it
         */
        default void onSnapshot(CaptureEntry.SnapshotRecord snapshotRecord, boolean restored) {}

        /** Called for each part of a file that cannot be read. */
        default void onCorruption(CaptureEntry.Corruption corruption) {}
    }

    /**
     * A point at which the replay diverges from the capture. Immutable.
     *
     * @param eventNumber of the event, from 1
     * @param timestamp nanoseconds of the node's clock
     * @param captured the captured event with its actions; null if the state diverges at a snapshot
     * @param replayedActions the actions that this build decides
     * @param description description for people
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
     * @param decisionListener notified of the balancer's decision reasons, or null
     * @param restoreAtEachSnapshot whether to restore the balancer at each snapshot instead of comparing its state with
     *     it
     */
    public Replayer(DecisionListener decisionListener, boolean restoreAtEachSnapshot, Listener... listeners) {
        this.decisionListener = decisionListener;
        this.restoreAtEachSnapshot = restoreAtEachSnapshot;
        this.listeners = List.of(listeners);
    }

    /** Starts at this snapshot, counted from 1. */
    public Replayer startingAtSnapshot(long snapshotNumber) {
        firstSnapshot = snapshotNumber;
        return this;
    }

    /** Replays no event after this one, counted from 1, and none with a later timestamp (nanoseconds). */
    public Replayer endingAt(long eventNumber, long timestamp) {
        lastEvent = eventNumber;
        endTimestamp = timestamp;
        return this;
    }

    /**
     * Replays with these routes (null for none) in place of the captured ones, restoring at each snapshot, so
     * that each section between two snapshots shows where decisions first diverge. Requests in flight at a
     * snapshot keep the route rules they had.
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
                        "what is known at a snapshot differs: " + difference);
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
                recordDivergence(
                        snapshotRecord.timestamp(), null, List.of(), "a snapshot is refused: " + e.getMessage());
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
            // Later decisions would diverge as a consequence; replay restarts at the next snapshot.
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
        return path + ": " + replayed + " here, " + captured + " in the capture";
    }

    /** Returns the balancer's state after the last replayed event; null if no balancer is active. */
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

    /** Returns how often the balancer was restored from a snapshot. */
    public long restores() {
        return restores;
    }

    /** Returns the number of unreadable parts. */
    public long corruptions() {
        return corruptions;
    }

    /** Returns the number of events that the capture reports as dropped. */
    public long droppedEvents() {
        return droppedEvents;
    }

    /** Returns the nanoseconds from the first replayed event to the last; 0 if there was none. */
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
