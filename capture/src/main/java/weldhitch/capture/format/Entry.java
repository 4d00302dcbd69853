package weldhitch.capture.format;

import java.util.List;
import weldhitch.capture.policy.Missed;
import weldhitch.decision.Balancing.Action;
import weldhitch.decision.Balancing.Event;
import weldhitch.decision.Balancing.Settings;
import weldhitch.decision.Snapshot;

/** One thing that a capture says, in the order in which it happened. Times are nanoseconds of the node's own clock. */
public sealed interface Entry {
    /**
     * All that the module knew at this time, before what follows.
     *
     * @param run tells one capture of a node from the next one in the same directory
     * @param build of the node, for people
     * @param missed what happened before this and was not written; null where nothing is missing in this run
     */
    record Known(long now, String node, String run, String build, Settings settings, Snapshot snapshot, Missed missed)
            implements Entry {
        /** The same, with this missing before it. */
        public Known missing(Missed all) {
            return new Known(now, node, run, build, settings, snapshot, all);
        }
    }

    /** An event and what was decided on it. */
    record Told(long now, Event event, List<Action> actions) implements Entry, Handed {
    }

    /** A part of a file that can't be read; what follows begins with a {@link Known}. {@code block} is -1 where it can't be told. */
    record Damage(String file, long offset, long block, String what) implements Entry {
        @Override
        public String toString() {
            return file + ": " + (block >= 0 ? "block " + block + " " : "") + "at byte " + offset + ": " + what;
        }
    }
}
