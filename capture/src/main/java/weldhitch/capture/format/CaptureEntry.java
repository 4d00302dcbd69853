package weldhitch.capture.format;

import java.util.List;
import weldhitch.capture.policy.DroppedEvents;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * An entry of a capture. Entries are in the order in which they happened. Times are nanoseconds of the node's
 * own clock. Not modified after creation.
 */
public sealed interface CaptureEntry {
    /**
     * A snapshot of the balancer's complete state, taken before the events that follow.
     *
     * @param runId distinguishes the captures that a node writes to the same directory one after another
     * @param build version of the node, for people to read
     * @param dropped the events before this snapshot that were not written; null if none were dropped
     */
    record SnapshotRecord(
            long timestamp,
            String node,
            String runId,
            String build,
            BalancerSettings settings,
            BalancerSnapshot snapshot,
            DroppedEvents dropped)
            implements CaptureEntry {
        /** Returns a copy that reports the given events as dropped before the snapshot. */
        public SnapshotRecord withDropped(DroppedEvents allDropped) {
            return new SnapshotRecord(timestamp, node, runId, build, settings, snapshot, allDropped);
        }
    }

    /** An event and the actions that the balancer decided on. */
    record EventRecord(long timestamp, BalancerEvent event, List<BalancerAction> actions)
            implements CaptureEntry, CaptureItem {}

    /**
     * A part of a file that cannot be read; the next readable entry is a {@link SnapshotRecord}.
     *
     * @param offset in bytes from the start of the file
     * @param blockNumber number of the block in its segment; -1 if unknown
     */
    record Corruption(String file, long offset, long blockNumber, String description) implements CaptureEntry {
        @Override
        public String toString() {
            return file + ": " + (blockNumber >= 0 ? "block " + blockNumber + " " : "") + "at byte " + offset + ": "
                    + description;
        }
    }
}
