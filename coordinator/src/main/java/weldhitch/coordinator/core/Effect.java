package weldhitch.coordinator.core;

import java.util.List;
import weldhitch.fleet.error.FleetError;

/** An effect that a {@link CoordinatorCore}'s owner executes once the acceptor's state is on disk. Immutable. */
public sealed interface Effect {

    /** Sends a message to another coordinator. */
    record Send(String to, PeerMessage message) implements Effect {
        /** Appends one {@code Send} of the message for each peer, in the order of {@code peers}. */
        static void toAll(List<String> peers, PeerMessage message, List<Effect> effects) {
            peers.forEach(peer -> effects.add(new Send(peer, message)));
        }
    }

    /** Writes an event to the log. */
    record LogEvent(String event) implements Effect {}

    /** Reports an error in the log. */
    record ReportError(FleetError error) implements Effect {}

    /**
     * Reports that the file of a submission has become a version. {@code versionNumber} is its number, or 0 if the
     * number is no longer known.
     */
    record Submitted(String submissionId, long versionNumber) implements Effect {}
}
