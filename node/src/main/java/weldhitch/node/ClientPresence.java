package weldhitch.node;

/** Whether a client is still connected, as far as its input shows. */
enum ClientPresence {
    CONNECTED,
    DISCONNECTED,
    /** The client sends so much that the end of its input, which may be a close, cannot be found. */
    UNKNOWN
}
