package weldhitch.decision.connection;

/**
 * Decides whether an attempt may still be dispatched. The node calls it once, just before the first byte is written, on
 * new and reused connections alike. Connecting may take as long as the settings allow; in the meantime the client may
 * disconnect, the deadline or the deduplication window may expire, and the endpoint may drain, restart or move. An
 * attempt that is not dispatched ends as not executed, so that the balancer can retry the request elsewhere.
 *
 * <p>Stateless; performs no I/O and reads no clock: times are nanoseconds of the caller's clock.
 */
public final class DispatchGuard {
    /** The incarnation of an endpoint that is no longer listed. */
    public static final long NOT_LISTED = -1;

    /** The result of a check: {@link #ALLOWED}, or the reason why the attempt must not be dispatched. */
    public enum Verdict {
        /** The attempt may be dispatched. */
        ALLOWED,
        /** The request is answered, its client has disconnected, or the attempt was abandoned. */
        ABANDONED,
        /** The attempt's timeout or deadline has passed. */
        DEADLINE_EXCEEDED,
        /** An earlier attempt may have been executed, and endpoints no longer discard repeats of the request. */
        DEDUPLICATION_WINDOW_EXPIRED,
        /** The endpoint is no longer listed. */
        ENDPOINT_REMOVED,
        /** The endpoint has restarted or moved, so the state that its choice was based on no longer applies. */
        ENDPOINT_REPLACED,
        /** The endpoint is draining. */
        ENDPOINT_DRAINING;

        /** Returns whether the endpoint is the reason, so that other attempts must not use its connections either. */
        public boolean concernsEndpoint() {
            return this == ENDPOINT_REMOVED || this == ENDPOINT_REPLACED || this == ENDPOINT_DRAINING;
        }
    }

    private DispatchGuard() {}

    /**
     * Decides whether an attempt may be dispatched now.
     *
     * @param awaited whether the request still waits for an answer
     * @param deadline the time at which the attempt's timeout or deadline passes
     * @param deduplicatedUntil the end of the deduplication window of an earlier attempt that may have been executed;
     *     {@link Long#MAX_VALUE} if none may have been
     * @param chosenIncarnation the incarnation of the endpoint when it was chosen
     * @param listedIncarnation the present incarnation of the endpoint, or {@link #NOT_LISTED}
     * @param draining whether the endpoint is draining now
     */
    public static Verdict check(
            boolean awaited,
            long now,
            long deadline,
            long deduplicatedUntil,
            long chosenIncarnation,
            long listedIncarnation,
            boolean draining) {
        if (!awaited) {
            return Verdict.ABANDONED;
        } else if (now >= deadline) {
            return Verdict.DEADLINE_EXCEEDED;
        } else if (now >= deduplicatedUntil) {
            return Verdict.DEDUPLICATION_WINDOW_EXPIRED;
        } else if (listedIncarnation == NOT_LISTED) {
            return Verdict.ENDPOINT_REMOVED;
        } else if (listedIncarnation != chosenIncarnation) {
            return Verdict.ENDPOINT_REPLACED;
        }
        return draining ? Verdict.ENDPOINT_DRAINING : Verdict.ALLOWED;
    }
}
