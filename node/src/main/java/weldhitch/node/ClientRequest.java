package weldhitch.node;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import weldhitch.decision.settings.RequestClass;

/**
 * A client's request as it is forwarded to endpoints; the body is mutable, and released by {@link Dispatcher}
 * or, before it is dispatched, by {@link ClientConnection}.
 *
 * @param id the value of {@code X-Trace-Id}
 * @param headers all headers of the client's request, hop-by-hop ones included
 */
record ClientRequest(
        String id, RequestClass requestClass, HttpMethod method, String uri, HttpHeaders headers, BufferedBody body) {}
