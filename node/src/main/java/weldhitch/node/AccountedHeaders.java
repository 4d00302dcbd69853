package weldhitch.node;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Header fields that are received from a client, accounted for in {@link ResourceLimits} while they are parsed. Not
 * thread-safe, confined to the event loop.
 */
final class AccountedHeaders extends LimitedHeaders {
    /** Estimated memory of a field in addition to its name and value. */
    static final int FIELD_OVERHEAD_BYTES = 160;

    /** Thrown if a field does not fit into the node's memory limit. */
    static final class MemoryLimitException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MemoryLimitException() {
            super("the memory limit is reached", null, false, false);
        }
    }

    private final ResourceLimits limits;
    private long reservedBytes;

    AccountedHeaders(ResourceLimits limits) {
        this.limits = limits;
    }

    @Override
    void checkField(CharSequence name, Object value) {
        super.checkField(name, value);
        int valueLength = value instanceof CharSequence text ? text.length() : 0;
        int bytes = FIELD_OVERHEAD_BYTES + name.length() + valueLength;
        if (!limits.tryReserve(bytes, reservedBytes)) {
            throw new MemoryLimitException();
        }
        reservedBytes += bytes;
    }

    /** Ends the accounting; called when the message that has these fields is no longer used. */
    void release() {
        limits.release(reservedBytes);
        reservedBytes = 0;
    }

    /** Ends the accounting of the headers or trailers of a received message, if it has any. */
    static void releaseHeadersOf(Object message) {
        if (message instanceof HttpMessage head && head.headers() instanceof AccountedHeaders headers) {
            headers.release();
        }
        if (message instanceof LastHttpContent last && last.trailingHeaders() instanceof AccountedHeaders trailers) {
            trailers.release();
        }
    }
}
