package weldhitch.node;

/** Where an answer comes from that is passed on as it comes. */
interface StreamSource {
    /** The client of the stream has room again. */
    void resume();

    /** The client of the stream has gone. */
    void sinkGone();
}
