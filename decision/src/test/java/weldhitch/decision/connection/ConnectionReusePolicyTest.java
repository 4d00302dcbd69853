package weldhitch.decision.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how long a connection may be idle before a request that is not idempotent reuses it. */
class ConnectionReusePolicyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_764_000_000L * SECOND;
    private final ConnectionReusePolicy policy = new ConnectionReusePolicy();

    @Test
    void withoutObservationsOnlyFreshConnectionsAreReused() {
        assertEquals(ConnectionReusePolicy.DEFAULT_MAX_IDLE, policy.maxIdle(NOW));
    }

    @Test
    void maxIdleIsHalfOfTheProvenIdleTime() {
        policy.recordSuccess(3 * SECOND, NOW);
        policy.recordSuccess(SECOND, NOW + SECOND);
        assertEquals(3 * SECOND / 2, policy.maxIdle(NOW + SECOND));
        policy.recordSuccess(ConnectionReusePolicy.DEFAULT_MAX_IDLE / 10, NOW + SECOND);
        assertEquals(3 * SECOND / 2, policy.maxIdle(NOW + 2 * SECOND));
    }

    @Test
    void observationExpiresAfterTenSeconds() {
        policy.recordSuccess(4 * SECOND, NOW);
        assertEquals(2 * SECOND, policy.maxIdle(NOW + 10 * SECOND));
        assertEquals(ConnectionReusePolicy.DEFAULT_MAX_IDLE, policy.maxIdle(NOW + 10 * SECOND + 1));
        policy.recordSuccess(SECOND, NOW + 11 * SECOND);
        assertEquals(SECOND / 2, policy.maxIdle(NOW + 11 * SECOND));
    }

    @Test
    void reuseIsSuspendedForTenSecondsAfterAFailure() {
        policy.recordSuccess(4 * SECOND, NOW);
        policy.recordFailure(NOW + SECOND);
        assertEquals(0, policy.maxIdle(NOW + SECOND));
        assertEquals(0, policy.maxIdle(NOW + 11 * SECOND - 1));
        assertEquals(ConnectionReusePolicy.DEFAULT_MAX_IDLE, policy.maxIdle(NOW + 11 * SECOND));
        policy.recordFailure(NOW + 5 * SECOND);
        assertTrue(policy.maxIdle(NOW + 14 * SECOND) == 0, "a second failure suspends reuse from its own time on");
    }

    @Test
    void successDoesNotEndTheSuspension() {
        policy.recordFailure(NOW);
        policy.recordSuccess(4 * SECOND, NOW + SECOND);
        assertEquals(0, policy.maxIdle(NOW + 2 * SECOND));
    }
}
