package weldhitch.node;

/**
 * The listener side that accepted a connection. All of its methods are called on the event loop.
 *
 * @param <C> the type of the connection
 */
interface ClientConnectionListener<C> {
    /** The connection has been accepted. */
    void opened(C connection);

    /** The connection has closed. */
    void closed(C connection);

    /** The connection has become idle, or has stopped being so. */
    void idleChanged(C connection, boolean isIdle);
}
