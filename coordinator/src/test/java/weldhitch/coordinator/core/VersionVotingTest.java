package weldhitch.coordinator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import weldhitch.consensus.Command;
import weldhitch.consensus.CommittedState;
import weldhitch.coordinator.core.Effect.ReportError;

/** Tests the leader's decisions on a pending version: commit, abort, wait, finalize. */
class VersionVotingTest {
    private static final long TIMED_OUT = CoreFixtures.TIMING.voteTimeout() + 1;

    private final CommittedState pending =
            CoreFixtures.withPendingVersion(CoreFixtures.withMembers("m1", "m2"), "submission");
    private final FleetState state = FleetState.fromCommitted(pending);
    private final List<Effect> effects = new ArrayList<>();
    private int commandCount;

    private VersionVoting voting(MissingMemberPolicy policy, Safeguards safeguards) {
        FleetClock clock = new FleetClock(CoreFixtures.TIMING.maxClockDrift());
        clock.startLeadership(0, state, "s1/i1/1");
        VersionVoting voting =
                new VersionVoting(CoreFixtures.config(policy), safeguards, clock, () -> "c" + ++commandCount);
        voting.startLeadership(0);
        return voting;
    }

    private Optional<Command.Action> actionAt(long now, VersionVoting voting) {
        return voting.nextCommand(now, state, effects).map(Command::action);
    }

    @Test
    void commitsOnceEveryMemberAcceptsWithAnActivationTimeAfterAllLeases() {
        VersionVoting voting = voting(MissingMemberPolicy.ABORT, Safeguards.ALL);
        voting.onCall(CoreFixtures.call("m1", 1, true), state);
        assertEquals(Optional.empty(), actionAt(10, voting));
        voting.onCall(CoreFixtures.call("m2", 1, true), state);
        Command commit = voting.nextCommand(10, state, effects).orElseThrow();
        assertEquals(Command.Action.COMMIT, commit.action());
        assertTrue(Long.parseLong(commit.parameters().get("moment"))
                > 10 + CoreFixtures.TIMING.memberLease() + CoreFixtures.TIMING.activationDelay());
    }

    @Test
    void aVoteOnAnotherVersionDoesNotCount() {
        VersionVoting voting = voting(MissingMemberPolicy.ABORT, Safeguards.ALL);
        voting.onCall(CoreFixtures.call("m1", 1, true), state);
        voting.onCall(CoreFixtures.call("m2", 7, true), state);
        assertEquals(Optional.empty(), actionAt(10, voting));
    }

    @Test
    void abortsWithTheReasonsOfARejectingMember() {
        VersionVoting voting = voting(MissingMemberPolicy.ABORT, Safeguards.ALL);
        voting.onCall(CoreFixtures.call("m1", 1, true), state);
        voting.onCall(CoreFixtures.call("m2", 1, false, "x.toml:3: no"), state);
        Command abort = voting.nextCommand(10, state, effects).orElseThrow();
        assertEquals(Command.Action.ABORT, abort.action());
        assertEquals("m2: x.toml:3: no", abort.parameters().get("reason.0"));
    }

    @Test
    void missingVoteAfterTheTimeoutAbortsAndReportsAnError() {
        VersionVoting voting = voting(MissingMemberPolicy.ABORT, Safeguards.ALL);
        voting.onCall(CoreFixtures.call("m1", 1, true), state);
        assertEquals(Optional.of(Command.Action.ABORT), actionAt(TIMED_OUT, voting));
        assertInstanceOf(ReportError.class, effects.get(0));
    }

    @Test
    void missingVoteIsToleratedByFencingOrWithoutItsSafeguard() {
        assertEquals(
                Optional.of(Command.Action.COMMIT),
                actionAt(TIMED_OUT, voting(MissingMemberPolicy.FENCE, Safeguards.ALL)));
        assertEquals(
                Optional.of(Command.Action.COMMIT),
                actionAt(TIMED_OUT, voting(MissingMemberPolicy.ABORT, new Safeguards(true, true, true, false))));
    }

    @Test
    void finalizesAfterTheActivationTimeOfTheOwnClock() {
        VersionVoting voting = voting(MissingMemberPolicy.ABORT, Safeguards.ALL);
        long activationTime = 1000;
        FleetState committed = FleetState.fromCommitted(
                CoreFixtures.apply(pending, before -> before.commitCommand("s1", "c", "s1/i1/1", activationTime)));
        long finalizeTime = activationTime + CoreFixtures.TIMING.activationDelay();
        assertEquals(Optional.empty(), voting.nextCommand(finalizeTime, committed, effects));
        assertEquals(
                Optional.of(Command.Action.FINALIZE),
                voting.nextCommand(finalizeTime + 1, committed, effects).map(Command::action));
    }

    @Test
    void finalizesAfterABoundedMarginIfTheClockIsLost() {
        VersionVoting voting = voting(MissingMemberPolicy.ABORT, Safeguards.ALL);
        FleetState committed = FleetState.fromCommitted(
                CoreFixtures.apply(pending, before -> before.commitCommand("s2", "c", "s2/i9/4", 1000)));
        assertEquals(Optional.empty(), voting.nextCommand(0, committed, effects));
        long margin = 2 * (CoreFixtures.TIMING.memberLease() + 3 * CoreFixtures.TIMING.activationDelay());
        assertEquals(
                Optional.of(Command.Action.FINALIZE),
                voting.nextCommand(margin, committed, effects).map(Command::action));
    }
}
