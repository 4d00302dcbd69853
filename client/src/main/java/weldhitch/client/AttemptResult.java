package weldhitch.client;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Instant;
import weldhitch.client.policy.AttemptOutcome;
import weldhitch.client.policy.StatedDeduplicationScope;

/**
 * How an attempt ended, and what its response states.
 *
 * @param retryAfterNanos the node's Retry-After in nanoseconds; 0 if there is none
 * @param deduplicationScope the deduplication scope of the request's class; null if the node states none
 * @param body the body of the response; null unless the outcome is {@link AttemptOutcome#OK}
 */
record AttemptResult(
        AttemptOutcome outcome, long retryAfterNanos, StatedDeduplicationScope deduplicationScope, byte[] body) {
    /** Returns the result of an attempt that got no valid response. */
    static AttemptResult withoutResponse(AttemptOutcome outcome) {
        return new AttemptResult(outcome, 0, null, null);
    }

    /** Returns the result of an attempt with this response, whose body is read. */
    static AttemptResult of(FullHttpResponse response, Instant now) {
        AttemptOutcome outcome = outcomeOf(response.status());
        byte[] body = null;
        if (outcome == AttemptOutcome.OK) {
            body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
        }
        return new AttemptResult(
                outcome,
                RetryAfterHeader.parseNanos(response.headers().get(HttpHeaderNames.RETRY_AFTER), now),
                DeduplicationScopeHeader.parse(response.headers().get(DeduplicationScopeHeader.RESPONSE_NAME)),
                body);
    }

    /** Returns whether the node sent a complete response. */
    boolean hasResponse() {
        return switch (outcome) {
            case OK, REJECTED, ERROR_RESPONSE -> true;
            case NOT_SENT, STALE_CONNECTION, TRANSPORT_ERROR -> false;
        };
    }

    private static AttemptOutcome outcomeOf(HttpResponseStatus status) {
        if (status.equals(HttpResponseStatus.OK)) {
            return AttemptOutcome.OK;
        }
        boolean rejected = status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
        return rejected ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR_RESPONSE;
    }
}
