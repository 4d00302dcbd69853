package weldhitch.node;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;

/**
 * The headers that this protocol defines, and the rules for which headers of a client are forwarded to an endpoint.
 * Stateless.
 */
final class Headers {
    static final String REQUEST_ID = "X-Trace-Id";
    static final String REQUEST_CLASS = "X-Qos";
    static final String EXPIRES_IN = "X-Expires-In";
    static final String ROUTE_VERSION = "X-Route-Version";
    /** The endpoints that discard a repeat of the request, stated to a client that asks for it. */
    static final String DEDUPLICATION_SCOPE = "X-Deduplication-Scope";
    /** Set by a server that rejected a request without executing any of it. */
    static final String NEVER_RAN = "X-Never-Ran";

    private static final String TENANT = "X-Customer";
    private static final String RETRY = "X-Second-Try";
    private static final String COST_HINT = "X-Size-Hint";
    private static final String WANT_DEDUPLICATION_SCOPE = "X-Want-Deduplication-Scope";
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MAX_HINTED_COST_SECONDS = 1e6;
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host",
            "content-length",
            "x-expires-in",
            "x-want-deduplication-scope");

    private Headers() {}

    /** Returns the tenant of a request, or null if it has none. */
    static String tenant(ClientRequest request) {
        return request.headers().get(TENANT);
    }

    /** Returns whether the client marks this request as its retry of an earlier request. */
    static boolean isRetry(ClientRequest request) {
        return "1".equals(request.headers().get(RETRY));
    }

    /** Returns whether the client asks which endpoints discard a repeat of this request. */
    static boolean wantsDeduplicationScope(HttpHeaders headers) {
        return "1".equals(headers.get(WANT_DEDUPLICATION_SCOPE));
    }

    /**
     * Returns the endpoints at which a repeat of a request of this class has no further effect: {@code all},
     * {@code zone} or {@code cell} for those in the same one, or {@code none}.
     */
    static String deduplicationScope(RequestClass requestClass) {
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return "all";
        }
        if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return "none";
        }
        return switch (requestClass.deduplicationScope()) {
            case ALL -> "all";
            case ZONE -> "zone";
            case CELL -> "cell";
        };
    }

    /** Returns the client's cost hint in seconds, converted from microseconds; 0 if it is missing or invalid. */
    static double hintedCost(ClientRequest request) {
        String hint = request.headers().get(COST_HINT);
        try {
            double cost = hint == null ? 0 : Double.parseDouble(hint) / MICROS_PER_SECOND;
            return cost > 0 && cost < MAX_HINTED_COST_SECONDS ? cost : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    static HttpHeaders forwardedHeaders(ClientRequest request, long nanosLeft) {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        headers.set(HttpHeaderNames.HOST, request.headers().get(HttpHeaderNames.HOST, "app.svc"));
        String connectionOptions =
                request.headers().get(HttpHeaderNames.CONNECTION, "").toLowerCase(Locale.ROOT);
        for (Map.Entry<String, String> header : request.headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(name)
                    && (connectionOptions.isEmpty() || !isConnectionOption(connectionOptions, name))) {
                headers.add(header.getKey(), header.getValue());
            }
        }
        headers.set(EXPIRES_IN, formatSeconds(Math.max(0, nanosLeft)));
        if (request.body().size() > 0 || request.method().equals(HttpMethod.POST)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().size());
        }
        return headers;
    }

    private static boolean isConnectionOption(String connectionOptions, String name) {
        for (String option : connectionOptions.split(",")) {
            if (option.trim().equals(name)) {
                return true;
            }
        }
        return false;
    }

    /** Formats a duration as decimal seconds, rounded down to the millisecond. */
    static String formatSeconds(long nanos) {
        long millis = nanos / 1_000_000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    /** Returns the Retry-After of a response in nanoseconds, at most 60 s; 0 if it is missing or invalid. */
    static long parseRetryAfter(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.RETRY_AFTER);
        try {
            double seconds = value == null ? 0 : Double.parseDouble(value);
            return seconds > 0 ? (long) (Math.min(60, seconds) * 1e9) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
