package weldhitch.node;

/** The listener side that accepted a connection. All of its methods are called on the event loop. */
interface ClientConnectionListener {
    /** The connection has been accepted. */
    void opened(ClientConnection connection);

    /** The connection has closed. */
    void closed(ClientConnection connection);

    /** The connection has become idle, or has stopped being so. */
    void idleChanged(ClientConnection connection, boolean isIdle);
}
