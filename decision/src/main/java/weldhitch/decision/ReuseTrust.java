package weldhitch.decision;

/**
 * How long a connection to a server may have stood idle and still carry a request that must not run twice: free of
 * I/O, clock and threads; times are the caller's, in nanoseconds.
 *
 * <p>A request written to a connection that its server has just closed ends as a reset, and one that is unsafe to
 * repeat has then failed. A server may close sooner than the settings say, so a fresh connection is the only one that
 * can be taken on trust; but each handshake costs a server work, and a node of a large fleet sees each server so seldom
 * that hardly any connection is fresh. What requests that may be repeated meet on older connections settles it: half of
 * the longest idle time after which one was answered lately is trusted, until one breaks. It is one figure for all
 * servers of a tier: a node that sees each seldom would never learn it of a single one, and the half is the margin for
 * those that close sooner than the others.
 */
public final class ReuseTrust {
    private static final long MILLI = 1_000_000L;
    /** Trusted before anything is known: within it a server has hardly decided to close what it just used. */
    public static final long FRESH = 100 * MILLI;
    /** How long a break makes wary, and how long an answer vouches for the idle time before it. */
    static final long REMEMBERED = 10_000 * MILLI;

    private long waryUntil = Long.MIN_VALUE;
    private long proven;
    private long provenAt;

    /** A request was answered on a connection that had stood idle for so long. An unsafe one never raises trust. */
    public void answered(long idle, long now) {
        if (idle >= proven || now - provenAt > REMEMBERED) {
            proven = idle;
            provenAt = now;
        }
    }

    /** A connection that had been used before broke as soon as it was used again. */
    public void broke(long now) {
        waryUntil = now + REMEMBERED;
        proven = 0;
    }

    /** The idle time, in nanoseconds, under which a connection may carry an unsafe request now; 0 for none. */
    public long longestIdle(long now) {
        if (now < waryUntil) {
            return 0;
        }
        return now - provenAt > REMEMBERED ? FRESH : Math.max(FRESH, proven / 2);
    }
}
