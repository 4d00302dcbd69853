package weldhitch.node;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Creates the {@link AccountedHeaders} of one downstream connection, and releases those of a message that its client
 * has not completed. Owned by a {@link ClientConnection}; not thread-safe, confined to the event loop.
 */
final class AccountedHeadersFactory implements HttpHeadersFactory {
    private final ResourceLimits limits;
    /** The headers or trailers that were created last, which may still be incomplete; null if there were none. */
    private AccountedHeaders latest;

    AccountedHeadersFactory(ResourceLimits limits) {
        this.limits = limits;
    }

    @Override
    public HttpHeaders newHeaders() {
        latest = new AccountedHeaders(limits);
        return latest;
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }

    /** Ends the accounting of a message that is not completed any more. */
    void releaseIncomplete() {
        if (latest != null) {
            latest.release();
            latest = null;
        }
    }
}
