package weldhitch.capture.live;

import weldhitch.capture.format.Entry;
import weldhitch.capture.format.Handed;
import weldhitch.capture.policy.Missed;
import weldhitch.decision.Balancing.Settings;
import weldhitch.decision.SnapshotInParts;

/** A snapshot that is being taken while events already wait behind it; the writer stops at it until it is complete. */
record Growing(long now, String node, String run, String build, Settings settings, SnapshotInParts parts, Missed missed)
        implements Handed {
    /** @throws IllegalStateException while it is not complete */
    Entry.Known known() {
        return new Entry.Known(now, node, run, build, settings, parts.snapshot(), missed);
    }
}
