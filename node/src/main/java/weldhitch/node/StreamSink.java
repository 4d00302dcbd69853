package weldhitch.node;

import io.netty.buffer.ByteBuf;

/** Receives a streamed response; implemented by {@link ClientConnection} and called on the event loop. */
interface StreamSink {
    /** Called when a stream starts; {@code response} states its content type and length. */
    void streamStarted(StreamSource source, ServerResponse response);

    /** Receives the next bytes and takes ownership of their reference. */
    void streamData(ByteBuf bytes);

    /** Returns whether the sink accepts more bytes; if not, {@link StreamSource#resume} is called once it does. */
    boolean isWritable();

    /** Called when the stream has ended; {@code complete} is false if the response was truncated. */
    void streamEnded(boolean complete);
}
