package weldhitch.coordinator.core;

import java.util.HashMap;
import java.util.Map;
import weldhitch.fleet.activation.LeaseTiming;

/**
 * Elects a leader with leases, so that at most one coordinator leads at a time: votes expire (after Gray and Cheriton,
 * "Leases", 1989). A vote binds the coordinator that gives it for {@link LeaseTiming#leaderLease} from its reply on;
 * during this time it votes for no other candidate. The leader counts the same vote from when it sent the message that
 * the vote answers, and for a shorter time, so it stops leading before any coordinator may vote for another.
 *
 * <p>Votes given before a crash are unknown after it. Therefore a coordinator that has just started does not vote for
 * the duration of a leader lease.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds of this process's monotonic clock.
 */
final class LeaderElection {
    private final String name;
    private final int clusterSize;
    private final LeaseTiming timing;
    /** The coordinator that this one voted for; the vote is for {@link #votedTerm} until {@link #voteExpiresAt}. */
    private String votedFor;

    private long votedTerm;
    private long voteExpiresAt;
    /** The term of this coordinator's own candidacy. */
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
     * @param firstTerm a term that is higher than, or far from, all terms that earlier starts of this coordinator used
     */
    LeaderElection(String name, int clusterSize, LeaseTiming timing, long now, long firstTerm) {
        this.name = name;
        this.clusterSize = clusterSize;
        this.timing = timing;
        term = firstTerm;
        // Votes given before this start are unknown, so behave as if one had just been given.
        voteExpiresAt = now + timing.leaderLease();
    }

    /** Returns whether this coordinator may vote for {@code candidate} now. */
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
     * Votes for {@code candidate} in its term {@code candidateTerm} from now on; returns false if a vote for another
     * candidate is still valid.
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

    /** Ends the vote for a candidate that has abandoned this term and will never lead in it. */
    void releaseVote(String candidate, long candidateTerm, long now) {
        if (candidate.equals(votedFor) && candidateTerm == votedTerm) {
            voteExpiresAt = Math.min(voteExpiresAt, now);
        }
    }

    /**
     * Abandons this coordinator's candidacy in the current term, so that it may vote for others, and returns the
     * abandoned term.
     */
    long abandonElection(long now) {
        long abandonedTerm = term++;
        releaseVote(name, abandonedTerm, now);
        votesCountFrom.clear();
        return abandonedTerm;
    }

    /** Starts an election and returns the new term. */
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

    /** Records the vote of another coordinator in reply to the vote request of term {@code votedInTerm}. */
    void onVoteGranted(String voter, long votedInTerm) {
        if (votedInTerm == term) {
            votesCountFrom.merge(voter, electionStartedAt, Math::max);
        }
    }

    /** Records that the next heartbeat is sent now, and returns its sequence number. */
    long nextHeartbeat(long now) {
        heartbeatSentAt.put(++heartbeatSequence, now);
        heartbeatSentAt.remove(heartbeatSequence - 64);
        grantVote(name, term, now);
        votesCountFrom.put(name, now);
        return heartbeatSequence;
    }

    /**
     * Records another coordinator's acknowledgement of a heartbeat, and returns whether that heartbeat belongs to the
     * current term.
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
     * Returns the time until which the votes of a majority, this coordinator's own included, are valid;
     * {@link Long#MIN_VALUE} without a majority.
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

    /** Returns whether this coordinator is the leader now; once it is not, it has to win another election. */
    boolean isLeader(long now) {
        leader &= now < leadershipExpiresAt();
        return leader;
    }

    /**
     * Becomes the leader if a majority has voted for this coordinator; returns true only if it was not the leader
     * before.
     */
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
