package weldhitch.node;

/** The origin of a streamed response; implemented by {@link ServerConnection}, called on the event loop. */
interface StreamSource {
    /** The client of the stream can take more bytes. */
    void resume();

    /** The client of the stream has disconnected. */
    void sinkClosed();
}
