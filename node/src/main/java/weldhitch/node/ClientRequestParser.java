package weldhitch.node;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.function.Function;
import weldhitch.decision.settings.RequestClass;

/**
 * Validates the head of a client's request and extracts what the node needs for its decisions: the id, the request
 * class, the timeout and the body length. Used by {@link ClientConnection}; has no state, and is thread-safe if the
 * class lookup is.
 */
final class ClientRequestParser {
    /** The outcome of parsing a request's head. */
    sealed interface Result permits Accepted, Rejected, ReadinessQuery, ScopeQuery {}

    /**
     * A valid head.
     *
     * @param timeout the request's timeout in nanoseconds
     * @param contentLength the stated length of the body, or -1
     */
    record Accepted(String id, RequestClass requestClass, long timeout, long contentLength) implements Result {
        ClientRequest toClientRequest(HttpRequest request, BufferedBody body) {
            return new ClientRequest(id, requestClass, request.method(), request.uri(), request.headers(), body);
        }
    }

    /** An invalid head, with the status that answers its request. */
    record Rejected(HttpResponseStatus status) implements Result {}

    /** A question whether the node is ready. */
    record ReadinessQuery() implements Result {}

    /** A question which endpoints discard a repeat of a request of this class; it is answered, never forwarded. */
    record ScopeQuery(RequestClass requestClass) implements Result {}

    /** The maximum length of a request body. */
    static final long MAX_BODY_BYTES = 32L << 20;
    /** The maximum timeout of a request; a larger {@code X-Expires-In} is reduced to it. */
    static final long MAX_REQUEST_TIMEOUT_NANOS = 60_000_000_000L;

    private static final String READINESS_PATH = "/ready";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MAX_REQUEST_ID_LENGTH = 64;
    private static final int MAX_DECIMAL_DIGITS = 18;

    private final Function<String, RequestClass> requestClasses;

    /** Creates a parser; {@code requestClasses} returns the request class of a name, or null if there is none. */
    ClientRequestParser(Function<String, RequestClass> requestClasses) {
        this.requestClasses = requestClasses;
    }

    /** Validates the head; {@code path} is the {@link #path} of its URI. */
    Result parse(HttpRequest request, String path) {
        if (request.method().equals(HttpMethod.GET) && path.equals(READINESS_PATH)) {
            return new ReadinessQuery();
        }
        if (request.method().equals(HttpMethod.OPTIONS) && Headers.wantsDeduplicationScope(request.headers())) {
            return parseScopeQuery(path);
        }
        if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.POST)) {
            return new Rejected(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        List<String> requestIds = request.headers().getAll(Headers.REQUEST_ID);
        if (requestIds.size() != 1 || !isRequestId(requestIds.get(0))) {
            return new Rejected(HttpResponseStatus.BAD_REQUEST);
        }
        List<String> classHeaders = request.headers().getAll(Headers.REQUEST_CLASS);
        String pathClass = firstPathSegment(path);
        RequestClass requestClass = requestClasses.apply(classHeaders.isEmpty() ? pathClass : classHeaders.get(0));
        if (requestClass == null) {
            return new Rejected(HttpResponseStatus.NOT_FOUND);
        }
        if (classHeaders.size() > 1 || !requestClass.name().equals(pathClass)) {
            // Endpoints use the header, the retry rules use the path: the two must agree.
            return new Rejected(HttpResponseStatus.BAD_REQUEST);
        }
        long timeout = parseTimeout(request.headers().getAll(Headers.EXPIRES_IN), requestClass);
        if (timeout < 0) {
            return new Rejected(HttpResponseStatus.BAD_REQUEST);
        }
        long contentLength = HttpUtil.isTransferEncodingChunked(request) ? -1 : HttpUtil.getContentLength(request, 0L);
        if (contentLength > MAX_BODY_BYTES) {
            return new Rejected(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        return new Accepted(requestIds.get(0), requestClass, timeout, contentLength);
    }

    private Result parseScopeQuery(String path) {
        RequestClass requestClass = requestClasses.apply(firstPathSegment(path));
        return requestClass == null ? new Rejected(HttpResponseStatus.NOT_FOUND) : new ScopeQuery(requestClass);
    }

    /** Returns the status that answers input that is not valid HTTP, according to the decoder's exception. */
    static HttpResponseStatus malformedStatus(Throwable cause) {
        if (cause instanceof AccountedHeaders.MemoryLimitException) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    /** Returns why the connection closes after such input. */
    static NodeEvent.Close closeReason(Throwable cause) {
        if (cause instanceof AccountedHeaders.MemoryLimitException) {
            return NodeEvent.Close.MEMORY_LIMIT;
        }
        return cause instanceof TooLongFrameException ? NodeEvent.Close.HEAD_TOO_LARGE : NodeEvent.Close.MALFORMED;
    }

    /**
     * Returns the request's timeout in nanoseconds, by default its class's deadline; negative if the header is invalid.
     */
    private static long parseTimeout(List<String> headerValues, RequestClass requestClass) {
        if (headerValues.isEmpty()) {
            return requestClass.deadline();
        }
        String value = headerValues.get(0).trim();
        // Java accepts more numbers than the protocol does, Infinity for example.
        if (headerValues.size() > 1 || !isDecimal(value)) {
            return -1;
        }
        return (long) Math.min(MAX_REQUEST_TIMEOUT_NANOS, Double.parseDouble(value) * NANOS_PER_SECOND);
    }

    /**
     * Returns whether the text is 1 to 64 visible ASCII characters. Uses a loop, because a regular expression takes a
     * tenth of the time of a request on a node that has just started.
     */
    static boolean isRequestId(String text) {
        boolean valid = !text.isEmpty() && text.length() <= MAX_REQUEST_ID_LENGTH;
        for (int i = 0; valid && i < text.length(); i++) {
            valid = text.charAt(i) >= '!' && text.charAt(i) <= '~';
        }
        return valid;
    }

    /** Returns whether the text is 1 to 18 digits, optionally followed by a dot and up to 18 more digits. */
    static boolean isDecimal(String text) {
        int dot = text.indexOf('.');
        int integerDigits = dot < 0 ? text.length() : dot;
        return integerDigits >= 1
                && integerDigits <= MAX_DECIMAL_DIGITS
                && text.length() - integerDigits <= MAX_DECIMAL_DIGITS + 1
                && areDigits(text, 0, integerDigits)
                && (dot < 0 || areDigits(text, dot + 1, text.length()));
    }

    private static boolean areDigits(String text, int from, int to) {
        for (int i = from; i < to; i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /** Returns the URI without its query. */
    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static String firstPathSegment(String path) {
        int start = path.startsWith("/") ? 1 : 0;
        int end = path.indexOf('/', start);
        return path.substring(start, end < 0 ? path.length() : end);
    }
}
