package weldhitch.fleet.activation;

import java.util.List;

/**
 * The version that a member prepares to switch to: whether its table is built, the member's vote on it, and how and
 * when it was decided. Owned by {@link ActivationParticipant}, which replaces it as a whole; not thread-safe.
 */
final class TargetVersion {
    private final RouteVersion version;
    private final SwitchSchedule schedule = new SwitchSchedule();
    private boolean prepared;
    private boolean voted;
    private List<String> rejectionReasons = List.of();
    private ActivationOutcome commit;

    /** Creates the target without a table, a vote or a decision. */
    TargetVersion(RouteVersion version) {
        this.version = version;
    }

    /** The version. */
    RouteVersion version() {
        return version;
    }

    /** The version's number. */
    long number() {
        return version.number();
    }

    /** When the version takes effect here. */
    SwitchSchedule schedule() {
        return schedule;
    }

    /** Whether the version's table is built. */
    boolean isPrepared() {
        return prepared;
    }

    /** Why the table cannot be built, a line each; empty if it is built or being built. */
    List<String> rejectionReasons() {
        return rejectionReasons;
    }

    /** Whether the member has voted to commit the version. */
    boolean isVoted() {
        return voted;
    }

    /** Whether the member knows that the version is committed. */
    boolean isCommitted() {
        return commit != null;
    }

    /** Whether the member has a result to vote by: the table is built, or cannot be. */
    boolean isReadyToVote() {
        return prepared || !rejectionReasons.isEmpty();
    }

    /** Whether the version is prepared and committed, and its activation time has passed. */
    boolean isSwitchReached(long now) {
        return prepared && commit != null && now >= schedule.activatesAt();
    }

    /** Records whether the table could be built: there are no errors if it could. */
    void recordPreparation(List<String> errors) {
        rejectionReasons = List.copyOf(errors);
        prepared = errors.isEmpty();
    }

    /** Records that the member votes to commit the version. */
    void recordVote() {
        voted = true;
    }

    /** Records that the version is committed; returns whether that was unknown before. */
    boolean recordCommit(ActivationOutcome outcome) {
        boolean firstNotice = commit == null;
        commit = outcome;
        return firstNotice;
    }
}
