package weldhitch.node;

/** The pool that owns a {@link ServerConnection}. All of its methods are called on the event loop. */
interface ServerConnectionOwner {
    /** The response is complete and the connection can be reused. */
    void release(ServerConnection connection);

    /** The connection has closed. */
    void closed(ServerConnection connection);

    /** A connection that had been idle for {@code idle} nanoseconds carried a request and now delivers its response. */
    void reuseSucceeded(long idle, long now);

    /** A reused connection broke as soon as a request was written to it. */
    void reuseFailed();
}
