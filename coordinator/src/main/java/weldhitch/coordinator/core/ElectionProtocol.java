package weldhitch.coordinator.core;

import java.util.List;
import weldhitch.coordinator.core.Effect.Send;
import weldhitch.fleet.activation.LeaseTiming;

/**
 * Runs elections. It decides when this coordinator becomes a candidate, abandons a split vote and retries after a
 * random delay (the randomized election timeout of Raft), and it replies to other candidates. {@link LeaderElection}
 * decides which votes are valid.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds of this process's monotonic clock.
 */
final class ElectionProtocol {
    /** Value of {@link #electionDeadline} while no election is in progress. */
    private static final long NO_ELECTION = 0;

    private final CoordinatorConfig config;
    private final LeaseTiming timing;
    private final boolean voting;
    private final Jitter jitter;
    private final LeaderElection election;
    private long nextElectionAt;
    /** Time until which this candidate waits for a majority of votes. */
    private long electionDeadline = NO_ELECTION;

    /**
     * Starts as a follower.
     *
     * @param voting whether this coordinator votes and may become a candidate
     */
    ElectionProtocol(CoordinatorConfig config, boolean voting, Jitter jitter, long now) {
        this.config = config;
        this.voting = voting;
        this.jitter = jitter;
        timing = config.timing();
        election = new LeaderElection(config.name(), config.coordinators().size(), timing, now, jitter.firstTerm());
        nextElectionAt = now + timing.leaderLease() + jitter.below(timing.leaderLease() / 4);
    }

    /** Returns whether this coordinator holds a valid majority of votes. */
    boolean isLeader(long now) {
        return election.isLeader(now);
    }

    long term() {
        return election.term();
    }

    int followerCount(long now) {
        return election.followerCount(now);
    }

    /** Returns the leader as far as this coordinator knows; null if it knows none. */
    String leader(long now) {
        if (election.isLeader(now)) {
            return config.name();
        }
        String votedFor = election.votedFor(now);
        return config.name().equals(votedFor) ? null : votedFor;
    }

    /**
     * Abandons an election that has reached its deadline without a majority, or starts one if it is due. Must be called
     * only while this coordinator is not the leader. Returns whether an election was started; a cluster of a single
     * coordinator wins it at once.
     */
    boolean onTick(long now, List<Effect> effects) {
        if (electionDeadline > NO_ELECTION && now >= electionDeadline) {
            // Two concurrent candidates may each hold half of the other votes. Both release them and retry after
            // random delays.
            electionDeadline = NO_ELECTION;
            nextElectionAt = now + jitter.below(timing.leaderLease());
            Send.toAll(config.peers(), new PeerMessage.VoteRelease(election.abandonElection(now)), effects);
            return false;
        }
        if (electionDeadline == NO_ELECTION && now >= nextElectionAt && election.canVoteFor(config.name(), now)) {
            electionDeadline = now + timing.leaderLease() / 2;
            Send.toAll(config.peers(), new PeerMessage.VoteRequest(election.startElection(now)), effects);
            return true;
        }
        return false;
    }

    /** Votes for the candidate if that is allowed, and then postpones this coordinator's own next election. */
    void onVoteRequest(long now, String from, PeerMessage.VoteRequest request, List<Effect> effects) {
        if (voting && !election.isLeader(now) && election.grantVote(from, request.term(), now)) {
            nextElectionAt =
                    Math.max(nextElectionAt, now + timing.leaderLease() / 2 + jitter.below(timing.leaderLease() / 2));
            effects.add(new Send(from, new PeerMessage.VoteGranted(request.term())));
        }
    }

    void onVoteGranted(String from, PeerMessage.VoteGranted granted) {
        election.onVoteGranted(from, granted.term());
    }

    void onVoteRelease(long now, String from, PeerMessage.VoteRelease release) {
        election.releaseVote(from, release.term(), now);
    }

    /** Renews the vote for the sender of a heartbeat; returns false if this coordinator does not follow it. */
    boolean renewVote(long now, String from, long term) {
        if (!voting || election.isLeader(now) || !election.grantVote(from, term, now)) {
            return false;
        }
        nextElectionAt = election.voteExpiresAt() + jitter.below(timing.leaderLease() / 2);
        return true;
    }

    /** Records that the leader's next heartbeat is sent now, and returns its sequence number. */
    long nextHeartbeat(long now) {
        return election.nextHeartbeat(now);
    }

    /** Counts the acknowledgement of a heartbeat as a vote, and returns whether it belongs to the current term. */
    boolean onHeartbeatAck(String from, PeerMessage.HeartbeatAck ack) {
        return election.onHeartbeatAck(from, ack.term(), ack.sequence());
    }

    /**
     * Becomes the leader if a majority has voted for this coordinator; returns true only if it was not the leader
     * before.
     */
    boolean becomeLeaderIfElected(long now) {
        if (!election.becomeLeaderIfElected(now)) {
            return false;
        }
        electionDeadline = NO_ELECTION;
        return true;
    }

    /** Schedules the next election after a random delay, because this leader's lease has expired. */
    void onLeadershipExpired(long now) {
        nextElectionAt = now + jitter.below(timing.leaderLease());
    }

    /** Gives up leadership immediately. */
    void stepDown() {
        election.stepDown();
    }
}
