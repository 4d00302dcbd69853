package weldhitch.node;

/**
 * The pool that owns an upstream connection. All methods are called on the event loop.
 *
 * @param <C> the type of the connection
 */
interface ServerConnectionOwner<C> {
    /** Called when the response is complete and the connection can be reused. */
    void release(C connection);

    /** Called when the connection has closed. */
    void closed(C connection);

    /** Called when a connection that was reused after being idle for {@code idle} nanoseconds delivers a response. */
    void reuseSucceeded(long idle, long now);

    /** Called when a reused connection has failed right after a request was written to it. */
    void reuseFailed();
}
