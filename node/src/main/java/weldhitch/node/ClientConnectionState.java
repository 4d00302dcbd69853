package weldhitch.node;

/** The progress of the current request on a {@link ClientConnection}. */
enum ClientConnectionState {
    /** Between requests. */
    IDLE,
    /** The head of a request has been read, but not its complete body. */
    RECEIVING,
    /** A request has been received completely and is dispatched after the current read. */
    RECEIVED,
    /** A request has been dispatched and has no response yet. */
    WAITING,
    /** A response is being streamed. */
    STREAMING,
    /** The response has been written; the rest of the request body is read and discarded. */
    DISCARDING_BODY,
    /** No further request is read; the connection closes once its responses are written. */
    CLOSING;

    /** Returns what a connection in this state does with input; {@code writable} is whether its client reads. */
    InputSequencer.Readiness readiness(boolean writable) {
        return switch (this) {
            case CLOSING -> InputSequencer.Readiness.CLOSED;
            case RECEIVED, WAITING, STREAMING -> InputSequencer.Readiness.BUSY;
            case IDLE -> writable ? InputSequencer.Readiness.BETWEEN_REQUESTS : InputSequencer.Readiness.BUSY;
            case RECEIVING, DISCARDING_BODY ->
                writable ? InputSequencer.Readiness.IN_BODY : InputSequencer.Readiness.BUSY;
        };
    }
}
