package weldhitch.coordinator.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import weldhitch.consensus.Command;
import weldhitch.coordinator.core.Effect.ReportError;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.error.FleetError;

/**
 * Runs the two-phase commit of a route version at the leader, which acts as the commit's coordinator. It collects the
 * members' votes on the pending version, decides to commit or to abort, and finalizes a committed version after its
 * activation time.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds of this process's monotonic clock.
 */
final class VersionVoting {
    private static final int MAX_REASONS = 20;
    private static final int MAX_REASON_LENGTH = 400;
    /** Value of {@link #finalizeAt} while no time is set. */
    private static final long NEVER = Long.MAX_VALUE;

    /** A member's vote on the pending version; {@code rejectionReasons} is empty if the member accepts. */
    private record MemberVote(String incarnation, boolean accepts, List<String> rejectionReasons) {}

    /** The counted votes: the reasons of members that reject, and the names of members that have not voted. */
    private record Tally(List<String> rejections, List<String> missingMembers) {}

    private final CoordinatorConfig config;
    private final LeaseTiming timing;
    private final Safeguards safeguards;
    private final FleetClock clock;
    private final Supplier<String> commandIds;
    private final Map<String, MemberVote> memberVotes = new HashMap<>();
    private long votedVersion;
    private long pendingSince;
    private long finalizeAt = NEVER;

    /** Creates the state of a coordinator that is not the leader yet; {@code commandIds} supplies unique ids. */
    VersionVoting(CoordinatorConfig config, Safeguards safeguards, FleetClock clock, Supplier<String> commandIds) {
        this.config = config;
        this.safeguards = safeguards;
        this.clock = clock;
        this.commandIds = commandIds;
        timing = config.timing();
    }

    /** Starts a leadership: drops all votes and measures the vote timeout of a pending version from now. */
    void startLeadership(long now) {
        memberVotes.clear();
        pendingSince = now;
        finalizeAt = NEVER;
    }

    void endLeadership() {
        memberVotes.clear();
    }

    /** Starts the vote timeout of a version that has just become pending. */
    void onVersionPending(long now) {
        pendingSince = now;
    }

    /** Records the vote in the call of a current member if it is a vote on the pending version. */
    void onCall(MemberHeartbeat call, FleetState fleetState) {
        if (fleetState.pendingVersion() == null
                || call.votedVersion() != fleetState.pendingVersion().number()) {
            return;
        }
        if (votedVersion != call.votedVersion()) {
            votedVersion = call.votedVersion();
            memberVotes.clear();
        }
        memberVotes.put(
                call.member(),
                new MemberVote(call.incarnation(), call.prepared(), truncateReasons(call.rejectionReasons())));
    }

    private static List<String> truncateReasons(List<String> reasons) {
        return reasons.stream()
                .limit(MAX_REASONS)
                .map(reason -> reason.length() > MAX_REASON_LENGTH ? reason.substring(0, MAX_REASON_LENGTH) : reason)
                .toList();
    }

    /**
     * Returns the command that commits, aborts or finalizes the pending version; empty while it has to wait. There
     * must be a pending version.
     */
    Optional<Command> nextCommand(long now, FleetState fleetState, List<Effect> effects) {
        return fleetState.outcome() == null ? decide(now, fleetState, effects) : finalizeIfDue(now, fleetState);
    }

    private Optional<Command> decide(long now, FleetState fleetState, List<Effect> effects) {
        Tally tally = countVotes(fleetState);
        boolean complete = tally.missingMembers.isEmpty();
        boolean voteTimedOut = now - pendingSince > timing.voteTimeout();
        if (!tally.rejections.isEmpty() && (complete || voteTimedOut || now - pendingSince > timing.memberLease())) {
            return Optional.of(abort(fleetState, tally.rejections));
        }
        boolean toleratesMissing =
                !safeguards.requireEveryVote() || config.missingMemberPolicy() == MissingMemberPolicy.FENCE;
        if (complete || voteTimedOut && toleratesMissing) {
            return Optional.of(commit(now, fleetState));
        }
        if (voteTimedOut) {
            FleetError error =
                    new FleetError.MissingVotes(fleetState.pendingVersion().number(), tally.missingMembers);
            effects.add(new ReportError(error));
            return Optional.of(abort(fleetState, List.of(error.message())));
        }
        return Optional.empty();
    }

    private Tally countVotes(FleetState fleetState) {
        List<String> rejections = new ArrayList<>();
        List<String> missingMembers = new ArrayList<>();
        boolean votesAreCurrent = votedVersion == fleetState.pendingVersion().number();
        for (Map.Entry<String, String> member : fleetState.members().entrySet()) {
            MemberVote vote = votesAreCurrent ? memberVotes.get(member.getKey()) : null;
            if (vote == null || !vote.incarnation.equals(member.getValue())) {
                missingMembers.add(member.getKey());
            } else if (!vote.accepts) {
                vote.rejectionReasons.forEach(reason -> rejections.add(member.getKey() + ": " + reason));
            }
        }
        return new Tally(rejections, missingMembers);
    }

    private Command abort(FleetState fleetState, List<String> reasons) {
        return fleetState.abortCommand(config.name(), commandIds.get(), reasons);
    }

    /**
     * Builds the commit with an activation time after the expiry of every lease granted so far, by this leader or an
     * earlier one. No lease is granted while the proposal is in progress.
     */
    private Command commit(long now, FleetState fleetState) {
        long leaseExpiry = safeguards.awaitLeaseExpiry() ? timing.memberLease() : 0;
        long activationTime = clock.readingAt(now)
                + (long) ((leaseExpiry + timing.activationDelay()) * (1 + 2 * timing.maxClockDrift()))
                + 2 * clock.errorBound();
        return fleetState.commitCommand(config.name(), commandIds.get(), clock.id(), activationTime);
    }

    private Optional<Command> finalizeIfDue(long now, FleetState fleetState) {
        if (clock.measures(fleetState.outcome())) {
            long finalizeTime = fleetState.outcome().activationTime() + timing.activationDelay();
            return clock.readingAt(now) - clock.errorBound() > finalizeTime
                    ? Optional.of(finalizeCommand(fleetState))
                    : Optional.empty();
        }
        // The clock of the activation time is lost. The activation time lies within a bounded margin after the commit
        // was proposed, so it has passed once that margin has passed.
        if (finalizeAt == NEVER) {
            finalizeAt = now
                    + (long) ((timing.memberLease() + 3 * timing.activationDelay()) * (1 + 4 * timing.maxClockDrift()));
        }
        if (now < finalizeAt) {
            return Optional.empty();
        }
        finalizeAt = NEVER;
        return Optional.of(finalizeCommand(fleetState));
    }

    private Command finalizeCommand(FleetState fleetState) {
        return fleetState.finalizeCommand(config.name(), commandIds.get());
    }
}
