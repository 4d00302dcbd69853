package weldhitch.coordinator.core;

import java.util.ArrayList;
import java.util.List;
import weldhitch.coordinator.core.Effect.LogEvent;
import weldhitch.fleet.activation.ActivationOutcome;

/** Describes the difference between two committed states as log events. Stateless. */
final class FleetStateChanges {
    private FleetStateChanges() {}

    /** Returns whether {@code current} has a pending version that is not the pending one of {@code previous}. */
    static boolean isNewVersionPending(FleetState previous, FleetState current) {
        return current.pendingVersion() != null && !current.pendingVersion().equals(previous.pendingVersion());
    }

    /** Returns the events of versions in the order of the phases: pending, committed, aborted, active. */
    static List<LogEvent> versionEvents(FleetState previous, FleetState current) {
        List<LogEvent> events = new ArrayList<>();
        if (isNewVersionPending(previous, current)) {
            events.add(new LogEvent("version " + current.pendingVersion().number() + " "
                    + current.pendingVersion().sha256() + " proposed to "
                    + current.members().size() + " members"));
        }
        ActivationOutcome outcome = current.outcome();
        if (outcome != null && outcome.committed() && !outcome.equals(previous.outcome())) {
            events.add(new LogEvent("version " + outcome.version() + " committed, activates at "
                    + outcome.activationTime() / 1_000_000 + " ms of clock "
                    + outcome.clockId()));
        }
        if (isAborted(previous, current)) {
            events.add(new LogEvent(
                    "version " + previous.pendingVersion().number() + " aborted" + abortReasons(previous, outcome)));
        }
        if (current.activeVersion().number() > previous.activeVersion().number()) {
            events.add(new LogEvent("version " + current.activeVersion().number() + " active"));
        }
        return events;
    }

    private static boolean isAborted(FleetState previous, FleetState current) {
        return previous.pendingVersion() != null
                && current.pendingVersion() == null
                && current.activeVersion().number() < previous.pendingVersion().number();
    }

    private static String abortReasons(FleetState previous, ActivationOutcome outcome) {
        boolean reasonsKnown = outcome != null
                && outcome.version() == previous.pendingVersion().number();
        return reasonsKnown ? ": " + String.join("; ", outcome.reasons()) : "";
    }

    /** Returns the event that reports a change of membership. */
    static LogEvent membershipEvent(FleetState current) {
        return new LogEvent("membership changed members=" + current.members().size());
    }
}
