package weldhitch.node;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Header fields that are received from a client, accounted for in {@link ResourceLimits} while they are parsed. A field
 * of four bytes on the wire occupies fifty times as much once it is parsed, so a limit on the bytes of a head does not
 * limit its memory. Not thread-safe, confined to the event loop.
 */
final class AccountedHeaders extends DefaultHttpHeaders {
    /** Maximum number of fields of a head, and of the trailers of a body. */
    static final int MAX_FIELDS = 128;
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
    private int fields;
    private long reservedBytes;

    AccountedHeaders(ResourceLimits limits) {
        super(
                DefaultHttpHeadersFactory.headersFactory().getNameValidator(),
                DefaultHttpHeadersFactory.headersFactory().getValueValidator());
        this.limits = limits;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        reserve(name, value);
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        reserve(name, value);
        return super.add(name, value);
    }

    private void reserve(CharSequence name, Object value) {
        if (++fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
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
