package weldhitch.node;

/** The source of a streamed response; implemented by {@link ServerConnection} and called on the event loop. */
interface StreamSource {
    /** Called when the client of the stream accepts more bytes again. */
    void resume();

    /** Called when the client of the stream has disconnected. */
    void sinkClosed();
}
