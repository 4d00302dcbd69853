package weldhitch.fleet.activation;

/**
 * The durations that coordinators and members agree on, in nanoseconds of any clock whose rate differs from
 * true time by at most {@code maxClockDrift}. Immutable.
 *
 * @param authority leader lease: how long a coordinator promises to follow one leader, from its answer on
 * @param lease member lease: how long after it was granted a lease may be used at the latest, as coordinators
 *     count it
 * @param lead how long after the expiry of every lease a version takes effect, so that members can learn of
 *     the decision before
 * @param vote how long members have for their votes
 * @param drift fraction by which clocks may run fast or slow, 0 to 0.1
 */
public record Timing(long authority, long lease, long lead, long vote, double drift) {
    private static final long MILLI = 1_000_000L;
    /**
     * The default durations: a leader lease of 2 s, a member lease of 3 s, 0.5 s before activation, 10 s to
     * vote, a drift of 0.2%.
     */
    public static final Timing USUAL = new Timing(2000 * MILLI, 3000 * MILLI, 500 * MILLI, 10_000 * MILLI, 0.002);

    /**
     * Rejects durations that are not positive (the delay before activation may be 0) and a drift outside of 0
     * to 0.1.
     */
    public Timing {
        if (authority <= 0 || lease <= 0 || lead < 0 || vote <= 0 || !(drift >= 0 && drift <= 0.1)) {
            throw new IllegalArgumentException("spans above 0, drift from 0 to 0.1");
        }
    }

    /**
     * How long a member may use a lease, from the sending of the heartbeat that obtained it. Measured by a
     * slow clock this ends before {@link #lease} does by a fast one, as {@code (1 - 2d)(1 + d) <= 1 - d}.
     */
    public long leaseOfMember() {
        return held(lease);
    }

    /** How long a leader may act on promises, from the sending of the request that obtained them. */
    public long authorityOfLeader() {
        return held(authority);
    }

    private long held(long span) {
        return (long) (span * (1 - 2 * drift));
    }
}
