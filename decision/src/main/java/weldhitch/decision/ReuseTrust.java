package weldhitch.decision;

/**
 * Decides how long a connection may have been idle and still be reused for a request that is not idempotent.
 * Used by the node's connection pool; not thread-safe, without I/O or clock. Times are the caller's, in
 * nanoseconds.
 *
 * <p>A request written to a connection that its endpoint has just closed ends as a reset, and one that is not
 * idempotent has then failed. An endpoint may close a connection earlier than the settings say, so only a
 * fresh connection is safe; but each handshake costs the endpoint work, and a node of a large fleet uses each
 * endpoint so rarely that hardly any connection is fresh. Therefore the policy learns from idempotent requests
 * on older connections: half of the longest idle time after which one was answered recently is allowed, until
 * one fails. The value is shared by all endpoints of a tier: a node that uses each rarely would never learn it
 * for a single one, and the half is the margin for endpoints that close earlier than the others.
 */
public final class ReuseTrust {
    private static final long MILLI = 1_000_000L;
    /** Allowed without any observation: an endpoint hardly closes a connection so soon after using it. */
    public static final long FRESH = 100 * MILLI;
    /** How long a failure suspends reuse, and how long an answer proves the idle time before it. */
    static final long REMEMBERED = 10_000 * MILLI;

    private long waryUntil = Long.MIN_VALUE;
    private long proven;
    private long provenAt;

    /**
     * A request was answered on a connection after this idle time. One that is not idempotent never raises the
     * limit.
     */
    public void answered(long idle, long now) {
        if (idle >= proven || now - provenAt > REMEMBERED) {
            proven = idle;
            provenAt = now;
        }
    }

    /** A reused connection failed as soon as it was used again. */
    public void broke(long now) {
        waryUntil = now + REMEMBERED;
        proven = 0;
    }

    /**
     * Returns the idle time in nanoseconds below which a non-idempotent request may reuse a connection; 0 for
     * none.
     */
    public long longestIdle(long now) {
        if (now < waryUntil) {
            return 0;
        }
        return now - provenAt > REMEMBERED ? FRESH : Math.max(FRESH, proven / 2);
    }
}
