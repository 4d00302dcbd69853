package weldhitch.node;

import io.netty.buffer.ByteBuf;

/**
 * Buffers the start of one server response, and decides when it is streamed instead: responses up to
 * {@link #MAX_BUFFERED_BYTES} are buffered completely, so that an attempt with a truncated one can be retried.
 * Owned by a {@link ServerConnection}; not thread-safe, confined to the event loop.
 */
final class ResponseBuffer {
    /** What becomes of a part of the body. */
    enum Disposition {
        /** It has been buffered. */
        BUFFERED,
        /** It has not been buffered; the response is to be streamed. */
        FORWARD,
        /** The response is longer than its class allows, or memory is short. */
        UNUSABLE
    }

    /**
     * Longer responses are streamed if their class allows it; for other classes no body is longer, and one that
     * claims to be is an error.
     */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /**
     * A response without a stated length is buffered only for a limited time and up to this size: if it turns
     * out to be long, its client's latency is measured to the first bytes, and a slow server takes a second for
     * 64 KiB.
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

    /** Buffers no more: what arrives from now on is forwarded. */
    void stopBuffering() {
        bufferingTimeElapsed = true;
    }

    /** Buffers a part of the body, if it may; {@code streamed} tells whether the class's responses are streamed. */
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
