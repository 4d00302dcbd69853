package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.Test;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;

/** Tests the life cycle of a request in {@link InFlightRequests}. */
class InFlightRequestsTest {
    private final ResourceLimits limits = new ResourceLimits(1024, 64L << 20);
    private final InFlightRequests requests = new InFlightRequests(new Clock());

    private InFlightRequest inFlight() {
        RequestClass requestClass =
                new RequestClass("rooms", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0, 0, 1, 1, 0.5, false);
        BufferedBody body = new BufferedBody(limits, 10);
        assertTrue(body.add(Unpooled.buffer(10).writeZero(10)));
        InFlightRequest inFlight = new InFlightRequest(
                new ClientRequest("1", requestClass, HttpMethod.POST, "/rooms", new DefaultHttpHeaders(), body),
                1,
                null);
        inFlight.watchdog = ImmediateEventExecutor.INSTANCE.newPromise();
        return inFlight;
    }

    @Test
    void markFinishedSecondTimeReturnsFalse() {
        InFlightRequest inFlight = inFlight();
        requests.add(inFlight);
        assertEquals(1, requests.unanswered());
        assertTrue(requests.markFinished(inFlight));
        assertTrue(inFlight.watchdog.isCancelled());
        assertFalse(requests.markFinished(inFlight));
        assertEquals(0, requests.unanswered());
        assertSame(inFlight, requests.get("1"));
    }

    @Test
    void removeIfCompleteWaitsForTheAnswerAndForOutstandingAttempts() {
        InFlightRequest inFlight = inFlight();
        inFlight.attemptsInFlight = 1;
        requests.add(inFlight);
        assertFalse(requests.removeIfComplete(inFlight));
        requests.markFinished(inFlight);
        assertFalse(requests.removeIfComplete(inFlight));
        assertEquals(10, limits.reservedBytes());

        inFlight.attemptsInFlight = 0;
        assertTrue(requests.removeIfComplete(inFlight));
        assertEquals(0, limits.reservedBytes());
        assertNull(requests.get("1"));
        assertFalse(requests.isDuplicate(inFlight.request));
        assertFalse(requests.removeIfComplete(inFlight));
    }
}
