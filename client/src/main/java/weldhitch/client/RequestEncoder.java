package weldhitch.client;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.security.SecureRandom;
import java.util.Locale;
import java.util.Optional;
import weldhitch.client.policy.ClientAction;
import weldhitch.client.policy.Idempotency;

/** Encodes what a client sends to a node as HTTP requests. Stateless. */
final class RequestEncoder {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final double NANOS_PER_SECOND = 1e9;
    /** The shortest remaining time that a request states, in seconds. */
    private static final double MIN_REMAINING_SECONDS = 0.001;

    private RequestEncoder() {}

    /**
     * Returns the HTTP request of an attempt. Called immediately before it is written, so that the remaining time that
     * it states does not include the time spent connecting.
     *
     * @param elapsedNanos nanoseconds since the attempt began
     * @return empty if the attempt must no longer be sent
     */
    static Optional<FullHttpRequest> attempt(Request request, ClientAction.SendAttempt attempt, long elapsedNanos) {
        return elapsedNanos < attempt.sendableTime()
                ? Optional.of(toHttpRequest(request, attempt, attempt.remainingTime() - elapsedNanos))
                : Optional.empty();
    }

    private static FullHttpRequest toHttpRequest(
            Request request, ClientAction.SendAttempt attempt, long remainingNanos) {
        byte[] body = request.body();
        HttpMethod method = request.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        FullHttpRequest httpRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                "/" + request.requestClass() + request.path(),
                Unpooled.wrappedBuffer(body));
        double remainingSeconds = Math.max(MIN_REMAINING_SECONDS, remainingNanos / NANOS_PER_SECOND);
        httpRequest
                .headers()
                .set("Host", attempt.node())
                .set("X-Trace-Id", String.format("%016x", RANDOM.nextLong()))
                .set("X-Qos", request.requestClass())
                .set("X-Expires-In", String.format(Locale.ROOT, "%.3f", remainingSeconds));
        if (request.tenant() != null) {
            httpRequest.headers().set("X-Customer", request.tenant());
        }
        if (request.idempotencyKey() != null) {
            httpRequest.headers().set("Idempotency-Key", request.idempotencyKey());
            httpRequest.headers().set(DeduplicationScopeHeader.REQUEST_NAME, DeduplicationScopeHeader.REQUEST_VALUE);
        }
        if (attempt.attempt() > 0) {
            httpRequest.headers().set("X-Second-Try", "1");
        }
        if (request.idempotency() != Idempotency.IDEMPOTENT) {
            httpRequest.headers().set("Content-Length", body.length);
        }
        return httpRequest;
    }

    /** Returns the HTTP request that asks a node for the deduplication scope of a request class. */
    static FullHttpRequest scopeQuery(ClientAction.QueryScope query) {
        FullHttpRequest httpRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.OPTIONS, "/" + query.requestClass(), Unpooled.EMPTY_BUFFER);
        httpRequest
                .headers()
                .set("Host", query.node())
                .set("X-Qos", query.requestClass())
                .set(DeduplicationScopeHeader.REQUEST_NAME, DeduplicationScopeHeader.REQUEST_VALUE);
        return httpRequest;
    }
}
