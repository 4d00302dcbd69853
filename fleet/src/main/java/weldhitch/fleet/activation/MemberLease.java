package weldhitch.fleet.activation;

/**
 * Whether a member is registered with the coordinators, and until when its lease lets it serve. Owned by {@link
 * ActivationParticipant}; not thread-safe. Times are nanoseconds of the member's clock.
 */
final class MemberLease {
    private final boolean fenceBeforeJoin;
    private boolean joined;
    private boolean leaseRequired;
    /** How long a lease may be used, as the leader reports it. */
    private long duration;

    private long expiresAt = Long.MIN_VALUE;
    /** Until when no version can have been decided without this member knowing it. */
    private long undecidedUntil = Long.MIN_VALUE;

    /**
     * Creates the state of a member that has not joined.
     *
     * @param fenceBeforeJoin whether it rejects all requests until it has joined
     */
    MemberLease(boolean fenceBeforeJoin) {
        this.fenceBeforeJoin = fenceBeforeJoin;
    }

    /** Whether the member is registered, according to the latest response. */
    boolean isJoined() {
        return joined;
    }

    /** Records that the member is registered. */
    void join() {
        joined = true;
    }

    /** Applies the terms that the leader reports with each response. */
    void updateTerms(boolean newLeaseRequired, long newDuration) {
        leaseRequired = newLeaseRequired;
        duration = newDuration;
    }

    /** Extends the lease: it was obtained by a heartbeat sent at {@code sentAt}. */
    void extend(long sentAt) {
        expiresAt = Math.max(expiresAt, sentAt + duration);
    }

    /**
     * Records that no version can be decided without this member knowing it before a lease's duration after {@code
     * moment}.
     */
    void extendUndecided(long moment) {
        undecidedUntil = Math.max(undecidedUntil, moment + duration);
    }

    /** Until when no version can have been decided without this member knowing it. */
    long undecidedUntil() {
        return undecidedUntil;
    }

    /** From when on all requests are rejected, as far as the lease decides that; {@link Long#MAX_VALUE} for never. */
    long fencedFrom() {
        if (!joined && fenceBeforeJoin) {
            return Long.MIN_VALUE;
        }
        return joined && leaseRequired ? expiresAt : Long.MAX_VALUE;
    }
}
