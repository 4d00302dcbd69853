package weldhitch.node;

/**
 * Receives the changes of a client connection: accepted, idle or no longer idle, closing, closed. All methods are
 * called on the event loop.
 *
 * @param <C> the type of the connection
 */
interface ClientConnectionListener<C> {
    /** Called when the connection has been accepted. */
    void opened(C connection);

    /** Called when the connection has closed. */
    void closed(C connection);

    /** Called when the connection handles no further request and closes once its client has closed its side. */
    void closing(C connection);

    /** Called when the connection has become idle or is no longer idle. */
    void idleChanged(C connection, boolean isIdle);
}
