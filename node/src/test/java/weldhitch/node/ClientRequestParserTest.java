package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;

/** Tests the status or the values that {@link ClientRequestParser} derives from request heads. */
class ClientRequestParserTest {
    private static final long DEADLINE = 2_000_000_000L;
    private static final RequestClass ROOMS = requestClass("rooms");
    private static final RequestClass RATES = requestClass("rates");

    private final ClientRequestParser parser = new ClientRequestParser(Map.of("rooms", ROOMS, "rates", RATES)::get);

    private static RequestClass requestClass(String name) {
        return new RequestClass(name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0, 0, DEADLINE, 1, 0.5, false);
    }

    private static HttpRequest request(HttpMethod method, String uri, String... headers) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri);
        for (int i = 0; i < headers.length; i += 2) {
            request.headers().add(headers[i], headers[i + 1]);
        }
        return request;
    }

    private ClientRequestParser.Result parse(HttpRequest request) {
        return parser.parse(request, ClientRequestParser.path(request.uri()));
    }

    private void assertRejected(HttpResponseStatus status, HttpRequest request) {
        assertEquals(new ClientRequestParser.Rejected(status), parse(request), request.toString());
    }

    private void assertAccepted(long timeout, long contentLength, HttpRequest request) {
        assertEquals(
                new ClientRequestParser.Accepted("1", ROOMS, timeout, contentLength),
                parse(request),
                request.toString());
    }

    @Test
    void parseInvalidHeadRejectsWithTheStatusOfTheFirstFault() {
        assertRejected(HttpResponseStatus.METHOD_NOT_ALLOWED, request(HttpMethod.PUT, "/unknown"));
        assertRejected(HttpResponseStatus.BAD_REQUEST, request(HttpMethod.GET, "/unknown"));
        assertRejected(HttpResponseStatus.BAD_REQUEST, request(HttpMethod.GET, "/rooms", "X-Trace-Id", "a b"));
        assertRejected(
                HttpResponseStatus.BAD_REQUEST,
                request(HttpMethod.GET, "/rooms", "X-Trace-Id", "1", "X-Trace-Id", "2"));
        assertRejected(HttpResponseStatus.NOT_FOUND, request(HttpMethod.GET, "/unknown", "X-Trace-Id", "1"));
        assertRejected(
                HttpResponseStatus.NOT_FOUND,
                request(HttpMethod.GET, "/rooms", "X-Trace-Id", "1", "X-Qos", "unknown", "X-Qos", "rooms"));
        assertRejected(
                HttpResponseStatus.BAD_REQUEST,
                request(HttpMethod.GET, "/rooms", "X-Trace-Id", "1", "X-Qos", "rooms", "X-Qos", "rooms"));
        assertRejected(
                HttpResponseStatus.BAD_REQUEST, request(HttpMethod.GET, "/rooms", "X-Trace-Id", "1", "X-Qos", "rates"));
        assertRejected(
                HttpResponseStatus.BAD_REQUEST,
                request(HttpMethod.GET, "/rooms", "X-Trace-Id", "1", "X-Expires-In", "Infinity"));
        assertRejected(
                HttpResponseStatus.BAD_REQUEST,
                request(HttpMethod.GET, "/rooms", "X-Trace-Id", "1", "X-Expires-In", "1", "X-Expires-In", "1"));
        assertRejected(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                request(HttpMethod.POST, "/rooms", "X-Trace-Id", "1", "Content-Length", "33554433"));
    }

    @Test
    void parseValidHeadReturnsClassTimeoutAndLength() {
        assertAccepted(DEADLINE, 0, request(HttpMethod.GET, "/rooms", "X-Trace-Id", "1"));
        assertAccepted(DEADLINE, 0, request(HttpMethod.GET, "/rooms/7?a=/rates", "X-Trace-Id", "1", "X-Qos", "rooms"));
        assertAccepted(
                1_500_000_000L,
                33_554_432,
                request(
                        HttpMethod.POST,
                        "/rooms",
                        "X-Trace-Id",
                        "1",
                        "X-Expires-In",
                        "1.5",
                        "Content-Length",
                        "33554432"));
        assertAccepted(
                ClientRequestParser.MAX_REQUEST_TIMEOUT_NANOS,
                -1,
                request(
                        HttpMethod.POST,
                        "/rooms",
                        "X-Trace-Id",
                        "1",
                        "X-Expires-In",
                        "61",
                        "Transfer-Encoding",
                        "chunked"));
    }

    @Test
    void malformedStatusNamesTheExceededLimit() {
        assertEquals(
                HttpResponseStatus.REQUEST_URI_TOO_LONG,
                ClientRequestParser.malformedStatus(new TooLongHttpLineException()));
        assertEquals(
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                ClientRequestParser.malformedStatus(new TooLongHttpHeaderException()));
        assertEquals(
                HttpResponseStatus.BAD_REQUEST, ClientRequestParser.malformedStatus(new IllegalArgumentException()));
    }
}
