package weldhitch.fleet.activation;

/**
 * Tracks whether a member is registered with the coordinators, and until when its lease allows it to serve. Owned by
 * {@link ActivationParticipant}; not thread-safe. Times are nanoseconds of the member's clock.
 */
final class MemberLease {
    private final boolean fenceBeforeJoin;
    private boolean joined;
    private boolean leaseRequired;
    /** How long a lease may be used, as reported by the leader. */
    private long duration;

    private long expiresAt = Long.MIN_VALUE;
    /** Time until which no version can have been decided without this member knowing it. */
    private long undecidedUntil = Long.MIN_VALUE;

    /**
     * Creates the state of a member that has not joined.
     *
     * @param fenceBeforeJoin whether the member rejects all requests until it has joined
     */
    MemberLease(boolean fenceBeforeJoin) {
        this.fenceBeforeJoin = fenceBeforeJoin;
    }

    /** Returns whether the member is registered according to the latest response. */
    boolean isJoined() {
        return joined;
    }

    /** Records that the member is registered. */
    void join() {
        joined = true;
    }

    /** Applies the lease terms that the leader reports with each response. */
    void updateTerms(boolean newLeaseRequired, long newDuration) {
        leaseRequired = newLeaseRequired;
        duration = newDuration;
    }

    /** Extends the lease that was granted in response to a heartbeat sent at {@code sentAt}. */
    void extend(long sentAt) {
        expiresAt = Math.max(expiresAt, sentAt + duration);
    }

    /**
     * Records that until a lease duration after {@code moment}, no version can be decided without this member
     * knowing it.
     */
    void extendUndecided(long moment) {
        undecidedUntil = Math.max(undecidedUntil, moment + duration);
    }

    /** Returns the time until which no version can have been decided without this member knowing it. */
    long undecidedUntil() {
        return undecidedUntil;
    }

    /** Returns the time from which the lease does not allow the member to serve; {@link Long#MAX_VALUE} for never. */
    long fencedFrom() {
        if (!joined && fenceBeforeJoin) {
            return Long.MIN_VALUE;
        }
        return joined && leaseRequired ? expiresAt : Long.MAX_VALUE;
    }
}
