package weldhitch.coordinator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.Command;
import weldhitch.consensus.Message;
import weldhitch.consensus.Reply;
import weldhitch.coordinator.core.Effect.Send;

/** Tests a coordinator's proposals, their retries, and the recovery of coordinators that missed a commit. */
class ConsensusDriverTest {
    private final List<String> notifications = new ArrayList<>();
    private final List<Effect> effects = new ArrayList<>();

    private ConsensusDriver driver(CoordinatorConfig config, boolean voting) {
        return new ConsensusDriver(
                config, AcceptorState.INITIAL, voting, new Jitter(7), new ConsensusDriver.Listener() {
                    @Override
                    public void onCommitted(long now, List<Effect> effects) {
                        notifications.add("committed");
                    }

                    @Override
                    public void onLeadershipConfirmed(long now) {
                        notifications.add("confirmed");
                    }
                });
    }

    private static ConsensusDriver.Listener silent() {
        return new ConsensusDriver.Listener() {
            @Override
            public void onCommitted(long now, List<Effect> effects) {}

            @Override
            public void onLeadershipConfirmed(long now) {}
        };
    }

    @Test
    void singleCoordinatorCommitsAtOnceAndConfirmsItsLeadership() {
        CoordinatorConfig alone =
                new CoordinatorConfig("s1", "i1", List.of("s1"), CoreFixtures.TIMING, MissingMemberPolicy.ABORT);
        ConsensusDriver driver = driver(alone, true);
        driver.proposeLeadershipNoOp(0, effects);
        assertEquals(1, driver.generation());
        assertFalse(driver.isProposing());
        assertEquals("confirmed", notifications.get(notifications.size() - 1));
        assertEquals(List.of(), effects, "no messages without peers");
    }

    @Test
    void proposalWithoutRepliesIsRetriedAfterARandomTime() {
        ConsensusDriver driver = driver(CoreFixtures.config(), true);
        driver.proposeLeadershipNoOp(0, effects);
        assertTrue(driver.isProposing(Command.Action.NO_OP));
        assertFalse(driver.isProposing(Command.Action.COMMIT));
        assertEquals(2, effects.size());
        driver.retryIfDue(CoreFixtures.TIMING.leaderLease() / 2, effects);
        assertEquals(2, effects.size());
        driver.retryIfDue(CoreFixtures.TIMING.leaderLease() + 1, effects);
        assertEquals(4, effects.size());
        driver.abandonProposal();
        assertFalse(driver.isProposing());
    }

    @Test
    void rollBackReturnsToThePersistedState() {
        ConsensusDriver driver = driver(CoreFixtures.config(), true);
        driver.proposeLeadershipNoOp(0, effects);
        assertTrue(driver.acceptorState().promised() != null);
        driver.rollBack(AcceptorState.INITIAL);
        assertEquals(AcceptorState.INITIAL, driver.acceptorState());
        assertFalse(driver.isProposing());
    }

    @Test
    void nonVotingAcceptorAbstainsButLearns() {
        ConsensusDriver proposing =
                new ConsensusDriver(CoreFixtures.config(), AcceptorState.INITIAL, true, new Jitter(7), silent());
        proposing.proposeLeadershipNoOp(0, effects);
        PeerMessage.ConsensusRequest prepare = (PeerMessage.ConsensusRequest) ((Send) effects.get(0)).message();
        ConsensusDriver learner = driver(CoreFixtures.config(), false);
        effects.clear();
        learner.onRequest(0, "s2", prepare, effects);
        PeerMessage.ConsensusReply reply = (PeerMessage.ConsensusReply) ((Send) effects.get(0)).message();
        assertInstanceOf(Reply.Abstained.class, reply.reply());
        Message.Learn learn = new Message.Learn(CoreFixtures.withMembers("m1"));
        learner.onRequest(0, "s2", new PeerMessage.ConsensusRequest("s2", learn), effects);
        assertEquals(1, learner.generation());
    }

    @Test
    void catchUpSendsTheCommittedStateToACoordinatorThatMissedIt() {
        ConsensusDriver driver = driver(CoreFixtures.config(), true);
        Message.Learn learn = new Message.Learn(CoreFixtures.withMembers("m1"));
        driver.onRequest(0, "s2", new PeerMessage.ConsensusRequest("s2", learn), new ArrayList<>());
        driver.catchUp("s3", 1, effects);
        assertEquals(List.of(), effects);
        driver.catchUp("s3", 0, effects);
        assertEquals(List.of(new Send("s3", new PeerMessage.ConsensusRequest("s1", learn))), effects);
    }
}
