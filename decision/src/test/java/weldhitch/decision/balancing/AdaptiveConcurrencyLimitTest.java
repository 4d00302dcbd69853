package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the adaptive concurrency limit alone: slow start, growth, decrease and scaling with the endpoint list. */
class AdaptiveConcurrencyLimitTest {
    private static final long LATENCY_OBJECTIVE = 600;
    private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();

    /** Returns the number of high-priority requests that can be admitted at once; does not change the limit's state. */
    private int capacity() {
        int acquired = 0;
        while (limit.hasCapacity(true)) {
            limit.acquire();
            acquired++;
        }
        for (int i = 0; i < acquired; i++) {
            limit.release();
        }
        return acquired;
    }

    private void acquire(int count) {
        for (int i = 0; i < count; i++) {
            limit.acquire();
        }
    }

    /** Regression: while only a third of the limit was in use, it grew to twice the capacity of the endpoints. */
    @Test
    void limitGrowsOnlyWhileInUse() {
        limit.onEndpointsChanged(4, 4, 1);
        int initial = capacity();
        acquire(initial / 2);
        for (int i = 0; i < 1000; i++) {
            recordTimelyResponse();
        }
        assertEquals(initial / 2, capacity(), "the limit must not grow while only half of it is used");
        acquire(initial - initial / 2);
        for (int i = 0; i < 100; i++) {
            recordTimelyResponse();
        }
        assertTrue(capacity() > 0, "the limit must grow while all of it is used and all responses are in time");
    }

    private void recordTimelyResponses(int responses) {
        int acquired = capacity();
        acquire(acquired);
        for (int i = 0; i < responses; i++) {
            recordTimelyResponse();
        }
        for (int i = 0; i < acquired; i++) {
            limit.release();
        }
    }

    /** Regression: when two of four endpoints were removed, the limit learned with four endpoints was kept. */
    @Test
    void limitScalesWithTheReadyEndpoints() {
        limit.onEndpointsChanged(4, 4, 1);
        recordTimelyResponses(200);
        int limitForFour = capacity();
        limit.onEndpointsChanged(2, 2, 1);
        assertEquals(limitForFour / 2, capacity(), 1);
        limit.onEndpointsChanged(0, 0, 1);
        limit.onEndpointsChanged(4, 4, 1);
        assertEquals(limitForFour, capacity(), 1, "an empty list in between must not change the limit");
    }

    private void recordTimelyResponse() {
        limit.recordLatency(LATENCY_OBJECTIVE * 3 / 4, LATENCY_OBJECTIVE);
    }

    /** Regression: a restarted node, for a second the only one, rejected half of the requests. */
    @Test
    void slowStartDoublesPerRoundTripUntilAnEndpointIsFull() {
        limit.onEndpointsChanged(4, 4, 2);
        int initial = capacity();
        recordFastResponses(initial);
        assertEquals(2 * initial, capacity(), "limit after one round trip");
        limit.onEndpointFull();
        recordFastResponses(initial);
        assertEquals(2 * initial + initial / 10, capacity(), 1, "limit one round trip after an endpoint was full");
    }

    @Test
    void enoughSlowResponsesEndSlowStart() {
        limit.onEndpointsChanged(4, 4, 2);
        int initial = capacity();
        limit.recordLatency(LATENCY_OBJECTIVE / 10, LATENCY_OBJECTIVE);
        for (int i = 0; i < 4; i++) {
            limit.recordLatency(LATENCY_OBJECTIVE / 2, LATENCY_OBJECTIVE);
        }
        recordFastResponses(initial);
        assertEquals(initial + initial / 10, capacity(), 1);
    }

    /**
     * Regression: one slow response among fast ones ended slow start, so that a newly started fleet rejected 27% of the
     * requests in its first five seconds.
     */
    @Test
    void singleSlowResponseDoesNotEndSlowStart() {
        limit.onEndpointsChanged(4, 4, 2);
        int initial = capacity();
        for (int i = 0; i < 10; i++) {
            limit.recordLatency(LATENCY_OBJECTIVE / 10, LATENCY_OBJECTIVE);
            limit.recordLatency(LATENCY_OBJECTIVE * 3 / 4, LATENCY_OBJECTIVE);
        }
        recordFastResponses(initial);
        assertEquals(2 * initial, capacity());
    }

    /** All responses of starting endpoints are slow, even without load. */
    @Test
    void uniformlySlowFirstResponsesDoNotEndSlowStart() {
        limit.onEndpointsChanged(4, 4, 2);
        int initial = capacity();
        for (int i = 0; i < 10; i++) {
            limit.recordLatency(LATENCY_OBJECTIVE * 55 / 100, LATENCY_OBJECTIVE);
        }
        recordFastResponses(initial);
        assertEquals(2 * initial, capacity());
    }

    private void recordFastResponses(int responses) {
        int acquired = capacity();
        acquire(acquired);
        for (int i = 0; i < responses; i++) {
            limit.recordLatency(LATENCY_OBJECTIVE / 10, LATENCY_OBJECTIVE);
            // The next request is admitted at once, so that the limit stays fully used.
            limit.acquire();
        }
        for (int i = 0; i < acquired + responses; i++) {
            limit.release();
        }
    }
}
