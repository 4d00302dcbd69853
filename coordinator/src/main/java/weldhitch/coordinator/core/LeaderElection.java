package weldhitch.coordinator.core;

import java.util.HashMap;
import java.util.Map;
import weldhitch.fleet.activation.LeaseTiming;

/**
 * Leader election with leases: at most one coordinator leads at a time, by votes that expire (after Gray and
 * Cheriton, "Leases", 1989). A coordinator votes for one leader for {@link LeaseTiming#leaderLease} from its reply on,
 * and for nobody else meanwhile. The leader counts the same vote from when it sent the message that the vote
 * answers, and for a shorter time, so that it stops before any coordinator may vote for another. Votes given
 * before a crash are unknown after it: a coordinator that has just started votes for nobody for the same time.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds of this process's monotonic clock.
 */
final class LeaderElection {
    private final String name;
    private final int clusterSize;
    private final LeaseTiming timing;
    /** The coordinator that this one has voted for, in which of its terms, and until when the vote is valid. */
    private String votedFor;

    private long votedTerm;
    private long voteExpiresAt;
    /** This coordinator's own candidacy: its current term. */
    private long term;

    private boolean leader;
    private final Map<String, Long> votesCountFrom = new HashMap<>();
    private long electionStartedAt;
    private long heartbeatSequence;
    private final Map<Long, Long> heartbeatSentAt = new HashMap<>();

    /**
     * Creates the election state of a coordinator that has just started.
     *
     * @param clusterSize number of coordinators, this one included
     * @param firstTerm higher than any term that an earlier start of this coordinator used, or far from them
     */
    LeaderElection(String name, int clusterSize, LeaseTiming timing, long now, long firstTerm) {
        this.name = name;
        this.clusterSize = clusterSize;
        this.timing = timing;
        term = firstTerm;
        // As if a vote had just been given: those given before this start are unknown.
        voteExpiresAt = now + timing.leaderLease();
    }

    /** Whether this coordinator may vote for {@code candidate} now. */
    boolean canVoteFor(String candidate, long now) {
        return candidate.equals(votedFor) || now >= voteExpiresAt;
    }

    long voteExpiresAt() {
        return voteExpiresAt;
    }

    /** Returns the coordinator that this one has voted for; null if there was none or the vote has expired. */
    String votedFor(long now) {
        return now < voteExpiresAt ? votedFor : null;
    }

    /**
     * Votes for {@code candidate} in its term {@code candidateTerm}, from now on; false if a vote for another
     * one is still valid.
     */
    boolean grantVote(String candidate, long candidateTerm, long now) {
        if (!canVoteFor(candidate, now)) {
            return false;
        }
        votedFor = candidate;
        votedTerm = candidateTerm;
        voteExpiresAt = Math.max(voteExpiresAt, now + timing.leaderLease());
        return true;
    }

    /** The candidate that this coordinator voted for has abandoned that term, and will never lead in it. */
    void releaseVote(String candidate, long candidateTerm, long now) {
        if (candidate.equals(votedFor) && candidateTerm == votedTerm) {
            voteExpiresAt = Math.min(voteExpiresAt, now);
        }
    }

    /**
     * Abandons this coordinator's candidacy in the current term, so that it may vote for others; returns the
     * abandoned term.
     */
    long abandonElection(long now) {
        long abandonedTerm = term++;
        releaseVote(name, abandonedTerm, now);
        votesCountFrom.clear();
        return abandonedTerm;
    }

    /** Starts an election; returns the new term. */
    long startElection(long now) {
        leader = false;
        term++;
        electionStartedAt = now;
        votesCountFrom.clear();
        heartbeatSentAt.clear();
        heartbeatSequence = 0;
        grantVote(name, term, now);
        votesCountFrom.put(name, now);
        return term;
    }

    /** Records a vote by another coordinator, in reply to the vote request of term {@code votedInTerm}. */
    void onVoteGranted(String voter, long votedInTerm) {
        if (votedInTerm == term) {
            votesCountFrom.merge(voter, electionStartedAt, Math::max);
        }
    }

    /** Records that the next heartbeat is sent now; returns its sequence number. */
    long nextHeartbeat(long now) {
        heartbeatSentAt.put(++heartbeatSequence, now);
        heartbeatSentAt.remove(heartbeatSequence - 64);
        grantVote(name, term, now);
        votesCountFrom.put(name, now);
        return heartbeatSequence;
    }

    /**
     * Records another coordinator's acknowledgement of a heartbeat; returns whether that heartbeat belongs to
     * the current term.
     */
    boolean onHeartbeatAck(String voter, long ackedTerm, long sequence) {
        Long sentAt = ackedTerm == term ? heartbeatSentAt.get(sequence) : null;
        if (sentAt != null) {
            votesCountFrom.merge(voter, sentAt, Math::max);
        }
        return sentAt != null;
    }

    long term() {
        return term;
    }

    /**
     * Returns until when a majority, this coordinator included, has voted for it; {@link Long#MIN_VALUE}
     * without a majority.
     */
    long leadershipExpiresAt() {
        long[] sortedStarts = votesCountFrom.values().stream()
                .mapToLong(Long::longValue)
                .sorted()
                .toArray();
        int majority = clusterSize / 2 + 1;
        return sortedStarts.length < majority
                ? Long.MIN_VALUE
                : sortedStarts[sortedStarts.length - majority] + timing.usableLeaderLease();
    }

    /** Whether this coordinator is the leader now; once it is not, it has to start another election. */
    boolean isLeader(long now) {
        leader &= now < leadershipExpiresAt();
        return leader;
    }

    /** Becomes the leader if a majority has voted for this coordinator; returns true only when that is new. */
    boolean becomeLeaderIfElected(long now) {
        if (leader || now >= leadershipExpiresAt()) {
            return false;
        }
        leader = true;
        return true;
    }

    void stepDown() {
        leader = false;
        votesCountFrom.clear();
    }

    /** Returns how many coordinators follow this one at {@code now}, itself included. */
    int followerCount(long now) {
        return (int) votesCountFrom.values().stream()
                .filter(countsFrom -> now < countsFrom + timing.usableLeaderLease())
                .count();
    }
}
