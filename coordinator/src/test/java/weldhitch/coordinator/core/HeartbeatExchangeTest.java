package weldhitch.coordinator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.consensus.CommittedState;
import weldhitch.coordinator.core.Effect.Send;

/** Tests that heartbeats renew votes and let a follower continue the leader's clock. */
class HeartbeatExchangeTest {
    private static final long START = 2 * CoreFixtures.TIMING.leaderLease();

    private final ElectionProtocol elections = new ElectionProtocol(CoreFixtures.config(), true, new Jitter(7), 0);
    private final FleetClock clock = new FleetClock(CoreFixtures.TIMING.maxClockDrift());
    private final HeartbeatExchange heartbeats = new HeartbeatExchange(CoreFixtures.config(), elections, clock);
    private final List<Effect> effects = new ArrayList<>();

    @Test
    void leaderSendsAtItsIntervalAndEchoesAcknowledgements() {
        elections.onTick(START, new ArrayList<>());
        elections.onVoteGranted("s2", new PeerMessage.VoteGranted(elections.term()));
        assertTrue(elections.becomeLeaderIfElected(START));
        clock.startLeadership(START, FleetState.fromCommitted(CommittedState.INITIAL), "own");
        heartbeats.startLeadership(START);
        heartbeats.sendIfDue(START, 4, effects);
        heartbeats.sendIfDue(START + 1, 4, effects);
        long term = elections.term();
        PeerMessage.Heartbeat first = new PeerMessage.Heartbeat(term, 1, "own", START, 0, 0, 0, 4);
        assertEquals(List.of(new Send("s2", first), new Send("s3", first)), effects);

        heartbeats.onHeartbeatAck(START + 5, "s2", new PeerMessage.HeartbeatAck(term, 1, 4));
        effects.clear();
        long next = START + CoreFixtures.TIMING.leaderLease() / 4;
        heartbeats.sendIfDue(next, 4, effects);
        assertEquals(
                new Send("s2", new PeerMessage.Heartbeat(term, 2, "own", next, 0, 1, START + 5, 4)), effects.get(0));
    }

    @Test
    void followerAcknowledgesOneLeaderOnly() {
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(3, 1, "clock", 100, 0, 0, 0, 4);
        assertTrue(heartbeats.onHeartbeat(START, "s2", heartbeat, 9, effects));
        assertFalse(heartbeats.onHeartbeat(START, "s3", heartbeat, 9, effects));
        assertEquals(List.of(new Send("s2", new PeerMessage.HeartbeatAck(3, 1, 9))), effects);
    }

    @Test
    void newLeaderContinuesTheClockOfAnAnnouncedActivationTime() {
        long ackedAt = 1_000_040;
        heartbeats.onHeartbeat(
                START, "s2", new PeerMessage.Heartbeat(3, 1, "clock", 1_000_000, 0, 0, 0, 4), 4, effects);
        heartbeats.onHeartbeat(
                START + 100, "s2", new PeerMessage.Heartbeat(3, 2, "clock", 1_000_100, 0, 1, ackedAt, 4), 4, effects);
        CommittedState pending = CoreFixtures.withPendingVersion(CoreFixtures.withMembers("m1"), "v");
        FleetState announced = FleetState.fromCommitted(
                CoreFixtures.apply(pending, before -> before.commitCommand("s2", "c", "clock", 2_000_000)));

        clock.startLeadership(START, FleetState.fromCommitted(pending), "own");
        assertEquals("own", clock.id());
        assertEquals(START, clock.readingAt(START));
        clock.startLeadership(START, announced, "own");
        assertEquals("clock", clock.id());
        assertTrue(clock.measures(announced.outcome()));
        assertEquals(1_000_020, clock.readingAt(START));
        assertTrue(clock.errorBound() >= 20, "half a round trip: " + clock.errorBound());
    }
}
