package weldhitch.node;

import io.netty.buffer.ByteBuf;

/** Receives a streamed response; implemented by {@link ClientConnection} and called on the event loop. */
interface StreamSink {
    /** A stream starts; {@code response} gives its content type and length. */
    void streamStarted(StreamSource source, ServerResponse response);

    /** The next bytes; the sink takes over their reference. */
    void streamData(ByteBuf bytes);

    /** Whether there is room for more; if not, {@link StreamSource#resume} is called once there is. */
    boolean isWritable();

    /** The stream has ended; {@code complete} is false if the response was truncated. */
    void streamEnded(boolean complete);
}
