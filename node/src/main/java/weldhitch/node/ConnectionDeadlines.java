package weldhitch.node;

/**
 * The timeouts of one downstream connection: on a request's head and body, between requests, on responses that
 * the client does not read, and on closing. Only decides which timeouts have expired, from the times that its
 * {@link ClientConnection} records; the connection acts on them. Not thread-safe, confined to the event loop. Times
 * are nanoseconds of {@link Clock}.
 */
final class ConnectionDeadlines {
    /** A timeout that has expired, or none. */
    enum Expiry {
        NONE,
        /** The head of a request is incomplete. */
        HEAD,
        /** No request has been started. */
        IDLE,
        /** The body of a request arrives too slowly, or no longer. */
        BODY,
        /** The client has not closed its side of the connection after the last response. */
        LINGER
    }

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /**
     * A client that stalls within a request must be answered within 3 s. The timeout is shorter because the sweep
     * interval adds to it.
     */
    static final long HEAD_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;

    /** Maximum time between two parts of a body; short for the same reason. */
    static final long BODY_STALL_NANOS = 2 * NANOS_PER_SECOND;

    static final long BODY_GRACE_NANOS = 2 * NANOS_PER_SECOND;
    static final long MIN_BODY_BYTES_PER_SECOND = 32 * 1024;
    static final long IDLE_TIMEOUT_NANOS = 60 * NANOS_PER_SECOND;
    /**
     * Timeout of a connection without a request so far. It is short because clients open a connection when they have a
     * request to send.
     */
    static final long FIRST_REQUEST_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;
    /** Maximum time that a client may leave a response unread. */
    static final long WRITE_TIMEOUT_NANOS = 30 * NANOS_PER_SECOND;

    /** The same while memory is scarce. */
    static final long SCARCE_MEMORY_WRITE_TIMEOUT_NANOS = 3 * NANOS_PER_SECOND;

    static final long LINGER_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;

    private long stateSince;
    /** The arrival time of the first byte of a head that is still incomplete; 0 if there is none. */
    private long headStartedAt;

    private long bytesReceived;
    private long lastBytesAt;
    /** Whether a request has ever started on this connection. */
    private boolean requestSeen;

    private long pendingWriteSince;
    private int pendingWrites;

    ConnectionDeadlines(long now) {
        stateSince = now;
    }

    /** Records that the connection has entered another state. */
    void stateChanged(long now) {
        stateSince = now;
        lastBytesAt = now;
        headStartedAt = 0;
    }

    long timeInState(long now) {
        return now - stateSince;
    }

    void bytesReceived(int count, long now) {
        bytesReceived += count;
        lastBytesAt = now;
    }

    /** Records that the first byte of a request's head has arrived. */
    void headStarted(long now) {
        headStartedAt = now;
    }

    /** Returns whether a part of a request's head has arrived, but not all of it. */
    boolean isReadingHead() {
        return headStartedAt != 0;
    }

    /** Records that the head of a request has been read; the bytes of its body are counted from here. */
    void requestStarted() {
        requestSeen = true;
        bytesReceived = 0;
    }

    /** Records that a write that ends a response is pending from now on. */
    void writeStarted(long now) {
        pendingWrites++;
        pendingWriteSince = now;
    }

    /** Records that a part of a streamed response has been passed to the channel. */
    void writeProgressed(long now) {
        pendingWriteSince = now;
    }

    void writeCompleted() {
        pendingWrites--;
    }

    boolean hasPendingWrites() {
        return pendingWrites > 0;
    }

    /** Returns the timeout that has expired in this state. */
    Expiry expiry(ClientConnectionState state, long now) {
        long elapsed = now - stateSince;
        return switch (state) {
            case IDLE -> idleExpiry(elapsed, now);
            case RECEIVING, DISCARDING_BODY -> bodyExpiry(elapsed, now);
            case CLOSING -> elapsed > LINGER_TIMEOUT_NANOS && pendingWrites == 0 ? Expiry.LINGER : Expiry.NONE;
            case RECEIVED, WAITING, STREAMING -> Expiry.NONE;
        };
    }

    private Expiry bodyExpiry(long elapsed, long now) {
        long allowed = BODY_GRACE_NANOS + bytesReceived * NANOS_PER_SECOND / MIN_BODY_BYTES_PER_SECOND;
        return elapsed > allowed || now - lastBytesAt > BODY_STALL_NANOS ? Expiry.BODY : Expiry.NONE;
    }

    private Expiry idleExpiry(long elapsed, long now) {
        if (headStartedAt > 0 && now - headStartedAt > HEAD_TIMEOUT_NANOS) {
            return Expiry.HEAD;
        }
        if (headStartedAt == 0 && elapsed > (requestSeen ? IDLE_TIMEOUT_NANOS : FIRST_REQUEST_TIMEOUT_NANOS)) {
            return Expiry.IDLE;
        }
        return Expiry.NONE;
    }

    /** Returns whether the client has left a response unread for too long. */
    boolean writeStalled(long now, boolean writable, boolean memoryScarce) {
        long timeout = memoryScarce ? SCARCE_MEMORY_WRITE_TIMEOUT_NANOS : WRITE_TIMEOUT_NANOS;
        return (pendingWrites > 0 || !writable) && now - pendingWriteSince > timeout;
    }
}
