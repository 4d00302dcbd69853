package weldhitch.node;

/** Progress of the current request on a {@link ClientConnection}. */
enum ClientConnectionState {
    /** Between requests. */
    IDLE,
    /** A request's head has been read, its body not completely. */
    RECEIVING,
    /** A request has been received completely and is dispatched once this read is over. */
    RECEIVED,
    /** A request has been dispatched and has no response yet. */
    WAITING,
    /** A response is being streamed. */
    STREAMING,
    /** The response has been written; the rest of the request body is read and discarded. */
    DISCARDING_BODY,
    /** No further request is read; the connection closes once its responses are written. */
    CLOSING
}
