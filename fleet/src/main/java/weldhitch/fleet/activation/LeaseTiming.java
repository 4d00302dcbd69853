package weldhitch.fleet.activation;

/**
 * The durations that coordinators and members agree on, in nanoseconds of any clock whose rate differs from
 * true time by at most {@code maxClockDrift}. Immutable.
 *
 * @param leaderLease leader lease: how long a coordinator promises to follow one leader, from its answer on
 * @param memberLease member lease: how long after it was granted a lease may be used at the latest, as coordinators
 *     count it
 * @param activationDelay how long after the expiry of every lease a version takes effect, so that members can learn of
 *     the decision before
 * @param voteTimeout how long members have for their votes
 * @param maxClockDrift fraction by which clocks may run fast or slow, 0 to 0.1
 */
public record LeaseTiming(
        long leaderLease, long memberLease, long activationDelay, long voteTimeout, double maxClockDrift) {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double LARGEST_CLOCK_DRIFT = 0.1;

    /**
     * The default durations: a leader lease of 2 s, a member lease of 3 s, 0.5 s before activation, 10 s to
     * vote, a drift of 0.2%.
     */
    public static final LeaseTiming DEFAULT = new LeaseTiming(
            2000 * NANOS_PER_MILLI, 3000 * NANOS_PER_MILLI, 500 * NANOS_PER_MILLI, 10_000 * NANOS_PER_MILLI, 0.002);

    /**
     * Rejects durations that are not positive (the delay before activation may be 0) and a drift outside of 0
     * to 0.1.
     */
    public LeaseTiming {
        if (leaderLease <= 0
                || memberLease <= 0
                || activationDelay < 0
                || voteTimeout <= 0
                || !(maxClockDrift >= 0 && maxClockDrift <= LARGEST_CLOCK_DRIFT)) {
            throw new IllegalArgumentException(
                    "durations must be above 0 (activationDelay from 0), maxClockDrift from 0 to 0.1: leaderLease="
                            + leaderLease + " memberLease=" + memberLease + " activationDelay=" + activationDelay
                            + " voteTimeout=" + voteTimeout + " maxClockDrift=" + maxClockDrift);
        }
    }

    /**
     * How long a member may use a lease, from the sending of the heartbeat that obtained it. Measured by a
     * slow clock this ends before {@link #memberLease} does by a fast one, as {@code (1 - 2d)(1 + d) <= 1 - d}.
     */
    public long usableMemberLease() {
        return shortenForDrift(memberLease);
    }

    /** How long a leader may act on promises, from the sending of the request that obtained them. */
    public long usableLeaderLease() {
        return shortenForDrift(leaderLease);
    }

    private long shortenForDrift(long duration) {
        return (long) (duration * (1 - 2 * maxClockDrift));
    }
}
