package weldhitch.node;

import io.netty.buffer.ByteBuf;

/** Receives a streamed response; implemented by {@link ClientConnection} and called on the event loop. */
interface StreamSink {
    /** A stream starts; {@code response} gives its content type and length. */
    void streamBegins(StreamSource from, ServerAnswer answer);

    /** The next bytes; the sink takes over their reference. */
    void streamed(ByteBuf bytes);

    /** Whether there is room for more; if not, {@link StreamSource#resume} is called once there is. */
    boolean takesMore();

    /** The stream has ended; {@code complete} is false if the response was truncated. */
    void streamEnds(boolean whole);
}
