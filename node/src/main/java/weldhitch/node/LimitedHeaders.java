package weldhitch.node;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Header fields of a received message, limited in number: a field of four bytes on the wire occupies fifty times as
 * much once it is parsed, so a limit on the bytes of a head does not limit its memory. Not thread-safe, confined to the
 * event loop.
 */
class LimitedHeaders extends DefaultHttpHeaders {
    /** Maximum number of fields of a head, and of the trailers of a body. */
    static final int MAX_FIELDS = 128;

    /** Creates headers that are limited in number alone. */
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new LimitedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new LimitedHeaders();
        }
    };

    private int fields;

    LimitedHeaders() {
        super(
                DefaultHttpHeadersFactory.headersFactory().getNameValidator(),
                DefaultHttpHeadersFactory.headersFactory().getValueValidator());
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        checkField(name, value);
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        checkField(name, value);
        return super.add(name, value);
    }

    /** Called for each field before it is added; throws if it must not be. */
    void checkField(CharSequence name, Object value) {
        if (++fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
    }
}
