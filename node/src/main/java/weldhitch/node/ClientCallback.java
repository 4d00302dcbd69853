package weldhitch.node;

/** The client side of a request: receives exactly one final answer, buffered or streamed, on the event loop. */
interface ClientCallback extends StreamSink {
    /** Answers with a complete response. */
    void served(ServerResponse response);

    /** Rejects: not executed, a retry does no harm; {@code retryAfter} in nanoseconds, 0 for no advice. */
    void rejected(long retryAfter);

    /**
     * Whether the client is connected at this moment, as far as the system knows. Reads what the system holds of
     * its input.
     */
    boolean isConnected();

    /** Fails without a promise about effects; {@code timedOut}: the request's deadline has passed. */
    void failed(boolean timedOut);
}
