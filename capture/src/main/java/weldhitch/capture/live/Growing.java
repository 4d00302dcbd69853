package weldhitch.capture.live;

import weldhitch.capture.format.Entry;
import weldhitch.capture.format.Handed;
import weldhitch.capture.policy.Missed;
import weldhitch.decision.Balancing.Settings;
import weldhitch.decision.SnapshotInParts;

/**
 * A queued snapshot that the event loop is still taking while later events already wait after it; the writer
 * thread does not read past it until it is complete.
 *
 * @param now nanoseconds of the node's clock
 * @param missed the events dropped before it, or null
 */
record Growing(long now, String node, String run, String build, Settings settings, SnapshotInParts parts, Missed missed)
        implements Handed {
    /**
     * Returns the complete snapshot as a record to be written.
     *
     * @throws IllegalStateException while it is not complete
     */
    Entry.Known known() {
        return new Entry.Known(now, node, run, build, settings, parts.snapshot(), missed);
    }
}
