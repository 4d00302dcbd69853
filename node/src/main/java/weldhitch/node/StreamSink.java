package weldhitch.node;

import io.netty.buffer.ByteBuf;

/** Takes an answer that is passed on as it comes. */
interface StreamSink {
    void streamBegins(StreamSource from, ServerAnswer answer);

    void streamed(ByteBuf bytes);

    /** Whether there is room; if not, {@link StreamSource#resume} says when there is again. */
    boolean takesMore();

    void streamEnds(boolean whole);
}
