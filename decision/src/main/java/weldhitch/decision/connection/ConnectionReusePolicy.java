package weldhitch.decision.connection;

/**
 * Decides how long a connection may have been idle and still be reused for a request that is not idempotent. Used by
 * the node's connection pool. Not thread-safe; performs no I/O and reads no clock: times are passed by the caller, in
 * nanoseconds.
 *
 * <p>A request written to a connection that its endpoint has just closed ends with a reset, and a request that is not
 * idempotent has then failed. An endpoint may close a connection earlier than the settings assume, so only a recently
 * used connection is safe. However, each handshake costs the endpoint work, and a node of a large fleet uses each
 * endpoint so rarely that hardly any connection was recently used. The policy therefore learns from idempotent requests
 * on connections that were idle for longer: it allows half of the longest idle time after which a request was answered
 * recently, until a reused connection fails. All endpoints of a tier share the value, because a node that rarely uses
 * each endpoint would never learn it for a single one; the half is the margin for endpoints that close connections
 * earlier than the others.
 */
public final class ConnectionReusePolicy {
    private static final long MILLI = 1_000_000L;
    /**
     * The idle time that is allowed without any observation, because an endpoint hardly ever closes a connection so
     * soon after using it.
     */
    public static final long DEFAULT_MAX_IDLE = 100 * MILLI;
    /** The time for which a failure suspends reuse, and for which an answer proves the idle time before it. */
    static final long OBSERVATION_LIFETIME = 10_000 * MILLI;

    private long suspendedUntil = Long.MIN_VALUE;
    private long provenIdle;
    private long provenAt;

    /**
     * Records that a request was answered on a connection that had been idle for {@code idle} nanoseconds. A request
     * that is not idempotent never raises the limit.
     */
    public void recordSuccess(long idle, long now) {
        if (idle >= provenIdle || now - provenAt > OBSERVATION_LIFETIME) {
            provenIdle = idle;
            provenAt = now;
        }
    }

    /** Records that a reused connection failed as soon as it was used again. */
    public void recordFailure(long now) {
        suspendedUntil = now + OBSERVATION_LIFETIME;
        provenIdle = 0;
    }

    /**
     * Returns the idle time in nanoseconds below which a request that is not idempotent may reuse a connection; 0 if
     * it may reuse none.
     */
    public long maxIdle(long now) {
        if (now < suspendedUntil) {
            return 0;
        }
        return now - provenAt > OBSERVATION_LIFETIME ? DEFAULT_MAX_IDLE : Math.max(DEFAULT_MAX_IDLE, provenIdle / 2);
    }
}
