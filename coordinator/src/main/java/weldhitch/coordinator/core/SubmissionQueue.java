package weldhitch.coordinator.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import weldhitch.consensus.Command;
import weldhitch.coordinator.core.Effect.Submitted;

/**
 * Queues the versions that were submitted to this coordinator and are not prepared yet, in the order of submission.
 * They are proposed one at a time, whether or not this coordinator is the leader. The current leader collects the
 * votes.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}.
 */
final class SubmissionQueue {
    /**
     * A submitted version.
     *
     * @param submissionId permanent id of the submission, which is also the id of its command
     */
    record Submission(String submissionId, String fileName, String sha256, String bundle) {}

    private final String issuer;
    private final Deque<Submission> queue = new ArrayDeque<>();

    SubmissionQueue(String issuer) {
        this.issuer = issuer;
    }

    /** Appends a submission unless it is already in the queue. */
    void add(Submission submission) {
        if (queue.stream().noneMatch(queued -> queued.submissionId.equals(submission.submissionId))) {
            queue.add(submission);
        }
    }

    /** Returns the command that prepares the first submission; empty if there is none or if a version is pending. */
    Optional<Command> nextCommand(FleetState fleetState) {
        if (queue.isEmpty() || fleetState.pendingVersion() != null) {
            return Optional.empty();
        }
        Submission first = queue.peek();
        return Optional.of(
                fleetState.prepareCommand(issuer, first.submissionId, first.sha256, first.bundle, first.fileName));
    }

    /** Removes the submissions that have become versions and reports each of them. */
    void onCommitted(FleetState fleetState, List<Effect> effects) {
        for (Submission submission : List.copyOf(queue)) {
            if (fleetState.submissionIds().contains(submission.submissionId)) {
                queue.remove(submission);
                effects.add(new Submitted(submission.submissionId, fleetState.lastVersionNumber()));
            }
        }
    }
}
