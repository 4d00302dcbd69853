package weldhitch.coordinator.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldhitch.coordinator.core.Effect.Send;

/**
 * Exchanges heartbeats between a leader and its followers. Heartbeats renew the votes and carry the clock readings from
 * which a follower estimates the leader's clock.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds of this process's monotonic clock.
 */
final class HeartbeatExchange {
    /** The last acknowledgement of a follower, with the fleet clock's reading when it arrived. */
    private record ReceivedAck(long sequence, long receivedAt) {
        static final ReceivedAck NONE = new ReceivedAck(0, 0);
    }

    private final CoordinatorConfig config;
    private final ElectionProtocol elections;
    private final FleetClock clock;
    private long nextHeartbeatAt;
    private final Map<String, ReceivedAck> lastAckByFollower = new HashMap<>();
    private final Map<String, PeerMessage.Heartbeat> lastHeartbeatByLeader = new HashMap<>();
    private final Map<String, Long> answeredAtByLeader = new HashMap<>();

    HeartbeatExchange(CoordinatorConfig config, ElectionProtocol elections, FleetClock clock) {
        this.config = config;
        this.elections = elections;
        this.clock = clock;
    }

    /** Drops the acknowledgements of an earlier leadership and makes the first heartbeat due at once. */
    void startLeadership(long now) {
        lastAckByFollower.clear();
        nextHeartbeatAt = now;
    }

    /** Sends a heartbeat to every follower if it is due. Must be called only while this coordinator is the leader. */
    void sendIfDue(long now, long generation, List<Effect> effects) {
        if (now < nextHeartbeatAt) {
            return;
        }
        nextHeartbeatAt = now + config.timing().leaderLease() / 4;
        long sequence = elections.nextHeartbeat(now);
        for (String peer : config.peers()) {
            ReceivedAck ack = lastAckByFollower.getOrDefault(peer, ReceivedAck.NONE);
            effects.add(new Send(
                    peer,
                    new PeerMessage.Heartbeat(
                            elections.term(),
                            sequence,
                            clock.id(),
                            clock.readingAt(now),
                            clock.errorBound(),
                            ack.sequence(),
                            ack.receivedAt(),
                            generation)));
        }
    }

    /**
     * Renews the vote for the sender and acknowledges the heartbeat; returns false and sends no reply if this
     * coordinator does not follow the sender.
     */
    boolean onHeartbeat(long now, String from, PeerMessage.Heartbeat heartbeat, long generation, List<Effect> effects) {
        if (!elections.renewVote(now, from, heartbeat.term())) {
            return false;
        }
        PeerMessage.Heartbeat previous = lastHeartbeatByLeader.put(from, heartbeat);
        Long answeredAt = answeredAtByLeader.put(from, now);
        if (previous != null && answeredAt != null && acknowledges(heartbeat, previous)) {
            // The previous heartbeat was acknowledged between the time it was sent and the time the acknowledgement
            // arrived at the leader.
            long halfRoundTrip = (heartbeat.ackedAt() - previous.clockReading()) / 2;
            clock.addLeaderReading(
                    heartbeat.clockId(),
                    answeredAt,
                    previous.clockReading() + halfRoundTrip,
                    halfRoundTrip + previous.clockError());
        }
        effects.add(new Send(from, new PeerMessage.HeartbeatAck(heartbeat.term(), heartbeat.sequence(), generation)));
        return true;
    }

    private static boolean acknowledges(PeerMessage.Heartbeat heartbeat, PeerMessage.Heartbeat previous) {
        return previous.term() == heartbeat.term()
                && heartbeat.ackedSequence() == previous.sequence()
                && previous.clockId().equals(heartbeat.clockId());
    }

    /** Counts a follower's acknowledgement as a vote, and records its arrival for the next heartbeat. */
    void onHeartbeatAck(long now, String from, PeerMessage.HeartbeatAck ack) {
        if (elections.onHeartbeatAck(from, ack)) {
            lastAckByFollower.put(from, new ReceivedAck(ack.sequence(), clock.readingAt(now)));
        }
    }
}
