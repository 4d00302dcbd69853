package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the adaptive concurrency limit on its own: slow start, growth, decrease and scaling with the endpoint
 * list.
 */
class AdaptiveConcurrencyLimitTest {
    private static final long LATENCY_OBJECTIVE = 600;
    private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();

    /** Returns how many important requests can be admitted at once; leaves the count as it was. */
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

    /**
     * Regression: a calm period with a third of the limit in use raised it to twice the endpoints' capacity.
     */
    @Test
    void limitGrowsOnlyWhileInUse() {
        limit.onEndpointsChanged(4, 4, 1);
        int initial = capacity();
        acquire(initial / 2);
        for (int i = 0; i < 1000; i++) {
            recordTimelyAnswer();
        }
        assertEquals(initial / 2, capacity(), "half of it was never used");
        acquire(initial - initial / 2);
        for (int i = 0; i < 100; i++) {
            recordTimelyAnswer();
        }
        assertTrue(capacity() > 0, "all of it is used, and all answers are in time");
    }

    private void recordTimelyAnswers(int answers) {
        int acquired = capacity();
        acquire(acquired);
        for (int i = 0; i < answers; i++) {
            recordTimelyAnswer();
        }
        for (int i = 0; i < acquired; i++) {
            limit.release();
        }
    }

    /**
     * Regression: after a release removed two of four endpoints, the limit was still that learned with four.
     */
    @Test
    void limitScalesWithTheReadyEndpoints() {
        limit.onEndpointsChanged(4, 4, 1);
        recordTimelyAnswers(200);
        int limitForFour = capacity();
        limit.onEndpointsChanged(2, 2, 1);
        assertEquals(limitForFour / 2, capacity(), 1);
        limit.onEndpointsChanged(0, 0, 1);
        limit.onEndpointsChanged(4, 4, 1);
        assertEquals(limitForFour, capacity(), 1, "a list that was empty for a moment");
    }

    private void recordTimelyAnswer() {
        limit.recordLatency(LATENCY_OBJECTIVE * 3 / 4, LATENCY_OBJECTIVE);
    }

    /** Regression: a restarted node, the only one for a second, rejected half of the requests. */
    @Test
    void slowStartDoublesPerRoundTripUntilAnEndpointIsFull() {
        limit.onEndpointsChanged(4, 4, 2);
        int initial = capacity();
        recordFastAnswers(initial);
        assertEquals(2 * initial, capacity(), "a round trip later");
        limit.onEndpointFull();
        recordFastAnswers(initial);
        assertEquals(2 * initial + initial / 10, capacity(), 1, "a server was full");
    }

    @Test
    void enoughSlowAnswersEndSlowStart() {
        limit.onEndpointsChanged(4, 4, 2);
        int initial = capacity();
        limit.recordLatency(LATENCY_OBJECTIVE / 10, LATENCY_OBJECTIVE);
        for (int i = 0; i < 4; i++) {
            limit.recordLatency(LATENCY_OBJECTIVE / 2, LATENCY_OBJECTIVE);
        }
        recordFastAnswers(initial);
        assertEquals(initial + initial / 10, capacity(), 1);
    }

    /**
     * Regression: one slow answer among fast ones ended slow start; a fresh fleet rejected 27% in its first
     * five seconds.
     */
    @Test
    void singleSlowAnswerDoesNotEndSlowStart() {
        limit.onEndpointsChanged(4, 4, 2);
        int initial = capacity();
        for (int i = 0; i < 10; i++) {
            limit.recordLatency(LATENCY_OBJECTIVE / 10, LATENCY_OBJECTIVE);
            limit.recordLatency(LATENCY_OBJECTIVE * 3 / 4, LATENCY_OBJECTIVE);
        }
        recordFastAnswers(initial);
        assertEquals(2 * initial, capacity());
    }

    /** All answers of starting endpoints are slow, even without load. */
    @Test
    void uniformlySlowFirstAnswersDoNotEndSlowStart() {
        limit.onEndpointsChanged(4, 4, 2);
        int initial = capacity();
        for (int i = 0; i < 10; i++) {
            limit.recordLatency(LATENCY_OBJECTIVE * 55 / 100, LATENCY_OBJECTIVE);
        }
        recordFastAnswers(initial);
        assertEquals(2 * initial, capacity());
    }

    private void recordFastAnswers(int answers) {
        int acquired = capacity();
        acquire(acquired);
        for (int i = 0; i < answers; i++) {
            limit.recordLatency(LATENCY_OBJECTIVE / 10, LATENCY_OBJECTIVE);
            // The next request is admitted at once, so that the limit stays fully used.
            limit.acquire();
        }
        for (int i = 0; i < acquired + answers; i++) {
            limit.release();
        }
    }
}
