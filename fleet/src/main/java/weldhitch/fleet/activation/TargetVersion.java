package weldhitch.fleet.activation;

import java.util.List;

/**
 * The version that a member prepares to switch to: whether its table is built, the member's vote on it, its outcome
 * and its activation time. Owned by {@link ActivationParticipant}, which creates a new object for each target version;
 * not thread-safe.
 */
final class TargetVersion {
    private final RouteVersion version;
    private final SwitchSchedule schedule = new SwitchSchedule();
    private boolean prepared;
    private boolean voted;
    private List<String> rejectionReasons = List.of();
    private ActivationOutcome commit;

    /** Creates a target version without a table, a vote or an outcome. */
    TargetVersion(RouteVersion version) {
        this.version = version;
    }

    /** Returns the version. */
    RouteVersion version() {
        return version;
    }

    /** Returns the version's number. */
    long number() {
        return version.number();
    }

    /** Returns the time at which the version is activated at this member. */
    SwitchSchedule schedule() {
        return schedule;
    }

    /** Returns whether the version's table is built. */
    boolean isPrepared() {
        return prepared;
    }

    /** Returns the reasons why the table cannot be built, one per line; empty if it is built or being built. */
    List<String> rejectionReasons() {
        return rejectionReasons;
    }

    /** Returns whether the member has voted to commit the version. */
    boolean isVoted() {
        return voted;
    }

    /** Returns whether the member knows that the version is committed. */
    boolean isCommitted() {
        return commit != null;
    }

    /** Returns whether the member can vote: the table is built, or cannot be built. */
    boolean isReadyToVote() {
        return prepared || !rejectionReasons.isEmpty();
    }

    /** Returns whether the version is prepared and committed, and its activation time has passed. */
    boolean isSwitchReached(long now) {
        return prepared && commit != null && now >= schedule.activatesAt();
    }

    /** Records whether the table could be built; an empty list of errors means that it is built. */
    void recordPreparation(List<String> errors) {
        rejectionReasons = List.copyOf(errors);
        prepared = errors.isEmpty();
    }

    /** Records that the member votes to commit the version. */
    void recordVote() {
        voted = true;
    }

    /** Records that the version is committed; returns whether the member did not know that before. */
    boolean recordCommit(ActivationOutcome outcome) {
        boolean firstNotice = commit == null;
        commit = outcome;
        return firstNotice;
    }
}
