package weldhitch.node;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.Balancing.RequestClass;

/** One request from a caller, from its head until its answer is given and no attempt is out any more. */
final class Exchange {
    final String id;
    final RequestClass requestClass;
    final HttpMethod method;
    final String uri;
    final HttpHeaders headers;
    /** How long the answer may take, from its last byte: what the caller waits, or less where this node ends before. */
    long patience;
    final Body body;
    final ClientConnection client;
    final List<Attempt> attempts = new ArrayList<>(2);
    long deadline;
    int out;
    /** The final answer is given or has begun, or nobody waits for it. */
    boolean over;
    Future<?> guard;

    Exchange(String id, RequestClass requestClass, HttpMethod method, String uri, HttpHeaders headers, long patience,
            Body body, ClientConnection client) {
        this.id = id;
        this.requestClass = requestClass;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.patience = patience;
        this.body = body;
        this.client = client;
    }
}
