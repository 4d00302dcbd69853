package weldhitch.capture.live;

import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureItem;
import weldhitch.capture.policy.DroppedEvents;
import weldhitch.decision.balancing.IncrementalSnapshot;
import weldhitch.decision.settings.BalancerSettings;

/**
 * A queued snapshot that the event loop is still taking while later events are already queued behind it. The
 * writer thread does not read past it until it is complete.
 *
 * @param timestamp nanoseconds of the node's clock
 * @param dropped the events dropped before it, or null
 */
record SnapshotInProgress(
        long timestamp,
        String node,
        String runId,
        String build,
        BalancerSettings settings,
        IncrementalSnapshot snapshot,
        DroppedEvents dropped)
        implements CaptureItem {
    /**
     * Returns the complete snapshot as a record to be written.
     *
     * @throws IllegalStateException while it is not complete
     */
    CaptureEntry.SnapshotRecord toRecord() {
        return new CaptureEntry.SnapshotRecord(timestamp, node, runId, build, settings, snapshot.snapshot(), dropped);
    }
}
