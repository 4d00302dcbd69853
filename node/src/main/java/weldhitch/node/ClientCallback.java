package weldhitch.node;

/** Passes the answer of a request to its client: exactly one final answer, buffered or streamed, on the event loop. */
interface ClientCallback extends StreamSink {
    /** Answers the request with a complete response. */
    void served(ServerResponse response);

    /**
     * Rejects the request, which has not been executed, so that a retry is safe.
     *
     * @param retryAfter nanoseconds after which the client may retry, or 0 to state none
     */
    void rejected(long retryAfter);

    /**
     * Determines whether the client is connected at this moment, as far as the operating system knows. Reads the
     * client's input that the operating system has already received.
     */
    ClientPresence presence();

    /**
     * Answers that the request failed; it may have been executed.
     *
     * @param timedOut whether the request's deadline has passed
     */
    void failed(boolean timedOut);
}
