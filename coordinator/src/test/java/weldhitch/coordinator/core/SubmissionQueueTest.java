package weldhitch.coordinator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import weldhitch.consensus.Command;
import weldhitch.consensus.CommittedState;
import weldhitch.coordinator.core.Effect.Submitted;

/** Tests that submissions are proposed in order, one at a time, and reported once they are versions. */
class SubmissionQueueTest {
    private final SubmissionQueue queue = new SubmissionQueue("s1");
    private final CommittedState initial = CoreFixtures.withMembers("m1");

    private Optional<String> nextId(CommittedState committed) {
        return queue.nextCommand(FleetState.fromCommitted(committed)).map(Command::id);
    }

    private static SubmissionQueue.Submission submission(String id) {
        return new SubmissionQueue.Submission(id, id + ".toml", "sha of " + id, "bundle of " + id);
    }

    @Test
    void proposesTheFirstSubmissionUnlessAVersionIsPending() {
        assertEquals(Optional.empty(), nextId(initial));
        queue.add(submission("a"));
        queue.add(submission("b"));
        assertEquals(Optional.of("a"), nextId(initial));
        assertEquals(Optional.empty(), nextId(CoreFixtures.withPendingVersion(initial, "other")));
    }

    @Test
    void acceptedSubmissionIsReportedOnceAndRemoved() {
        queue.add(submission("a"));
        queue.add(submission("a"));
        queue.add(submission("b"));
        FleetState accepted = FleetState.fromCommitted(CoreFixtures.withPendingVersion(initial, "a"));
        List<Effect> effects = new ArrayList<>();
        queue.onCommitted(accepted, effects);
        queue.onCommitted(accepted, effects);
        assertEquals(List.of(new Submitted("a", 1)), effects);
        assertEquals(Optional.of("b"), nextId(initial));
    }
}
