package weldhitch.node;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import weldhitch.decision.Balancing.RequestClass;

/** What a caller asked, as it goes on to servers. */
record CallerRequest(String id, RequestClass requestClass, HttpMethod method, String uri, HttpHeaders headers,
        Body body) {
}
