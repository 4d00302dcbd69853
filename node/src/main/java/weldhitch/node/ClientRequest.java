package weldhitch.node;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import weldhitch.decision.settings.RequestClass;

/**
 * A client's request as it is forwarded to endpoints. The body is mutable; {@link Dispatcher} releases it, or
 * {@link ClientConnection} if the request has not been dispatched.
 *
 * @param id the value of {@code X-Trace-Id}
 * @param headers all headers of the client's request, including the hop-by-hop headers
 */
record ClientRequest(
        String id, RequestClass requestClass, HttpMethod method, String uri, HttpHeaders headers, BufferedBody body) {
    /** Ends the memory accounting of a request that is no longer used, and releases its body. */
    void release() {
        body.release();
        if (headers instanceof AccountedHeaders accounted) {
            accounted.release();
        }
    }
}
