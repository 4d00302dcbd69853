package weldhitch.coordinator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.coordinator.core.Effect.Send;

/** Tests when a coordinator becomes a candidate, wins an election, or abandons it. */
class ElectionProtocolTest {
    private static final long LEASE = CoreFixtures.TIMING.leaderLease();
    /** Later than any first election timeout. */
    private static final long FIRST_ELECTION = 2 * LEASE;

    private final ElectionProtocol elections = new ElectionProtocol(CoreFixtures.config(), true, new Jitter(7), 0);
    private final List<Effect> effects = new ArrayList<>();

    @Test
    void candidateLeadsWithOneVoteOfTwoOthers() {
        assertTrue(elections.onTick(FIRST_ELECTION, effects));
        PeerMessage.VoteRequest request = new PeerMessage.VoteRequest(elections.term());
        assertEquals(List.of(new Send("s2", request), new Send("s3", request)), effects);
        assertFalse(elections.becomeLeaderIfElected(FIRST_ELECTION));
        elections.onVoteGranted("s3", new PeerMessage.VoteGranted(elections.term()));
        assertTrue(elections.becomeLeaderIfElected(FIRST_ELECTION));
        assertEquals("s1", elections.leader(FIRST_ELECTION));
        assertFalse(elections.isLeader(FIRST_ELECTION + LEASE), "leader although the votes have expired");
    }

    @Test
    void electionWithoutAMajorityIsAbandonedAndReleasesItsVotes() {
        elections.onTick(FIRST_ELECTION, effects);
        long term = elections.term();
        effects.clear();
        assertFalse(elections.onTick(FIRST_ELECTION + LEASE / 2 - 1, effects));
        assertEquals(List.of(), effects);
        assertFalse(elections.onTick(FIRST_ELECTION + LEASE / 2, effects));
        PeerMessage.VoteRelease release = new PeerMessage.VoteRelease(term);
        assertEquals(List.of(new Send("s2", release), new Send("s3", release)), effects);
    }

    @Test
    void oneVoteIsGrantedAtATimeAndPostponesTheOwnElection() {
        elections.onVoteRequest(FIRST_ELECTION, "s2", new PeerMessage.VoteRequest(5), effects);
        elections.onVoteRequest(FIRST_ELECTION, "s3", new PeerMessage.VoteRequest(9), effects);
        assertEquals(List.of(new Send("s2", new PeerMessage.VoteGranted(5))), effects);
        assertFalse(elections.onTick(FIRST_ELECTION, effects));
        assertEquals("s2", elections.leader(FIRST_ELECTION));
    }

    @Test
    void nonVotingCoordinatorGrantsNoVote() {
        ElectionProtocol learner = new ElectionProtocol(CoreFixtures.config(), false, new Jitter(7), 0);
        learner.onVoteRequest(FIRST_ELECTION, "s2", new PeerMessage.VoteRequest(5), effects);
        assertFalse(learner.renewVote(FIRST_ELECTION, "s2", 5));
        assertEquals(List.of(), effects);
    }
}
