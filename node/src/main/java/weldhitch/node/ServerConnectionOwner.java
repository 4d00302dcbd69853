package weldhitch.node;

/**
 * The pool that owns an upstream connection. All of its methods are called on the event loop.
 *
 * @param <C> the type of the connection
 */
interface ServerConnectionOwner<C> {
    /** The response is complete and the connection can be reused. */
    void release(C connection);

    /** The connection has closed. */
    void closed(C connection);

    /** A connection that had been idle for {@code idle} nanoseconds carried a request and now delivers its response. */
    void reuseSucceeded(long idle, long now);

    /** A reused connection broke as soon as a request was written to it. */
    void reuseFailed();
}
