package weldhitch.fleet.activation;

/**
 * The durations that coordinators and members agree on, in nanoseconds of any clock whose rate differs from true time
 * by at most {@code maxClockDrift}. Immutable.
 *
 * @param leaderLease leader lease: how long a coordinator promises to follow one leader, counted from its response
 * @param memberLease member lease: maximum time for which a lease may be used after it was granted, as measured by the
 *     coordinators
 * @param activationDelay delay of a version's activation after the expiry of every lease, so that members can learn of
 *     the decision before it
 * @param voteTimeout time that members have to vote
 * @param maxClockDrift fraction by which clocks may run fast or slow, 0 to 0.1
 */
public record LeaseTiming(
        long leaderLease, long memberLease, long activationDelay, long voteTimeout, double maxClockDrift) {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double LARGEST_CLOCK_DRIFT = 0.1;

    /**
     * The default durations: a leader lease of 2 s, a member lease of 3 s, an activation delay of 0.5 s, a vote timeout
     * of 10 s, and a clock drift of 0.2%.
     */
    public static final LeaseTiming DEFAULT = new LeaseTiming(
            2000 * NANOS_PER_MILLI, 3000 * NANOS_PER_MILLI, 500 * NANOS_PER_MILLI, 10_000 * NANOS_PER_MILLI, 0.002);

    /**
     * Rejects durations that are not positive, except that the activation delay may be 0, and a clock drift outside
     * 0 to 0.1.
     */
    public LeaseTiming {
        if (leaderLease <= 0
                || memberLease <= 0
                || activationDelay < 0
                || voteTimeout <= 0
                || !(maxClockDrift >= 0 && maxClockDrift <= LARGEST_CLOCK_DRIFT)) {
            throw new IllegalArgumentException(
                    "durations must be above 0 (activationDelay at least 0), maxClockDrift from 0 to 0.1: leaderLease="
                            + leaderLease + " memberLease=" + memberLease + " activationDelay=" + activationDelay
                            + " voteTimeout=" + voteTimeout + " maxClockDrift=" + maxClockDrift);
        }
    }

    /**
     * Returns how long a member may use a lease, counted from when it sent the heartbeat that obtained the lease.
     * This duration measured by a slow clock ends before {@link #memberLease} measured by a fast one, because {@code
     * (1 - 2d)(1 + d) <= 1 - d}, where {@code d} is the maximum drift.
     */
    public long usableMemberLease() {
        return shortenForDrift(memberLease);
    }

    /** Returns how long a leader may act on promises, counted from when it sent the request that obtained them. */
    public long usableLeaderLease() {
        return shortenForDrift(leaderLease);
    }

    private long shortenForDrift(long duration) {
        return (long) (duration * (1 - 2 * maxClockDrift));
    }
}
