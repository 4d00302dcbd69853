package weldhitch.node;

import io.netty.buffer.ByteBuf;

/**
 * Buffers the start of one server response and decides when the response is streamed instead. Responses up to
 * {@link #MAX_BUFFERED_BYTES} are buffered completely, so that an attempt with a truncated response can be retried.
 * Owned by a {@link ServerConnection}; not thread-safe, confined to the event loop.
 */
final class ResponseBuffer {
    /** The way in which a part of the body is handled. */
    enum Disposition {
        /** The part has been buffered. */
        BUFFERED,
        /** The part has not been buffered; the response is to be streamed. */
        FORWARD,
        /** The response is longer than its class allows, or the memory limit is reached. */
        UNUSABLE
    }

    /**
     * Longer responses are streamed if their class allows it. Other classes have no longer responses, so a longer one
     * is treated as an error.
     */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /**
     * Limit for a response without a stated length, which is also buffered only for a limited time. The client's
     * latency of a long response is measured to the first bytes, so these should not wait until the response turns out
     * to be long: a slow server takes 1 s to send 64 KiB.
     */
    static final int MAX_BUFFERED_UNSIZED_BYTES = 16 * 1024;

    private final ServerResponse response;
    private boolean bufferingTimeElapsed;

    ResponseBuffer(ServerResponse response) {
        this.response = response;
    }

    ServerResponse response() {
        return response;
    }

    boolean isEmpty() {
        return response.body().size() == 0;
    }

    /** Stops buffering: parts that arrive from now on are forwarded. */
    void stopBuffering() {
        bufferingTimeElapsed = true;
    }

    /** Buffers a part of the body if possible; {@code streamed} states whether the class's responses are streamed. */
    Disposition add(ByteBuf bytes, boolean streamed) {
        BufferedBody body = response.body();
        if (!streamed) {
            boolean buffered = body.size() + bytes.readableBytes() <= MAX_BUFFERED_BYTES && body.add(bytes);
            return buffered ? Disposition.BUFFERED : Disposition.UNUSABLE;
        }
        int maxBytes = response.length() < 0 ? MAX_BUFFERED_UNSIZED_BYTES : MAX_BUFFERED_BYTES;
        boolean fits = response.length() <= MAX_BUFFERED_BYTES && body.size() + bytes.readableBytes() <= maxBytes;
        // Adding consumes the bytes and reserves memory, so it comes last.
        boolean buffered = fits && !bufferingTimeElapsed && body.add(bytes);
        return buffered ? Disposition.BUFFERED : Disposition.FORWARD;
    }

    void release() {
        response.body().release();
    }
}
