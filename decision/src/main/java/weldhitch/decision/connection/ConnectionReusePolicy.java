package weldhitch.decision.connection;

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
public final class ConnectionReusePolicy {
    private static final long MILLI = 1_000_000L;
    /** Allowed without any observation: an endpoint hardly closes a connection so soon after using it. */
    public static final long DEFAULT_MAX_IDLE = 100 * MILLI;
    /** How long a failure suspends reuse, and how long an answer proves the idle time before it. */
    static final long OBSERVATION_LIFETIME = 10_000 * MILLI;

    private long suspendedUntil = Long.MIN_VALUE;
    private long provenIdle;
    private long provenAt;

    /**
     * A request was answered on a connection after this idle time. One that is not idempotent never raises the
     * limit.
     */
    public void recordSuccess(long idle, long now) {
        if (idle >= provenIdle || now - provenAt > OBSERVATION_LIFETIME) {
            provenIdle = idle;
            provenAt = now;
        }
    }

    /** A reused connection failed as soon as it was used again. */
    public void recordFailure(long now) {
        suspendedUntil = now + OBSERVATION_LIFETIME;
        provenIdle = 0;
    }

    /**
     * Returns the idle time in nanoseconds below which a non-idempotent request may reuse a connection; 0 for
     * none.
     */
    public long maxIdle(long now) {
        if (now < suspendedUntil) {
            return 0;
        }
        return now - provenAt > OBSERVATION_LIFETIME ? DEFAULT_MAX_IDLE : Math.max(DEFAULT_MAX_IDLE, provenIdle / 2);
    }
}
