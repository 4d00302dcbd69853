package weldhitch.decision.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests graceful shutdown. With a deadline of 3 s and a latency objective of 1.2 s the last answer is sent at 3.5 s.
 */
class GracefulShutdownTest {
    private static final long MILLI = 1_000_000L;
    private static final long STARTED_AT = 77_000 * MILLI;
    private final GracefulShutdown shutdown = new GracefulShutdown(3000 * MILLI, 1200 * MILLI);

    private static long timeAfter(long millis) {
        return STARTED_AT + millis * MILLI;
    }

    @Test
    void nothingChangesBeforeShutdownStarts() {
        assertFalse(shutdown.started());
        assertFalse(shutdown.sendsConnectionClose(timeAfter(60_000)));
        assertEquals(9, shutdown.allowedTime(timeAfter(60_000), 9, 100));
        assertEquals(5, shutdown.idleConnectionsToKeep(timeAfter(60_000), 5));
        assertTrue(shutdown.acceptsConnections(timeAfter(60_000), 0, 0));
    }

    @Test
    void connectionsStayOpenWhileLatencyObjectivesCanBeMet() {
        shutdown.start(STARTED_AT);
        assertFalse(shutdown.sendsConnectionClose(timeAfter(1899)));
        assertEquals(8, shutdown.idleConnectionsToKeep(timeAfter(1899), 8));
        assertTrue(shutdown.acceptsConnections(timeAfter(1899), 0, 1));
        assertTrue(shutdown.sendsConnectionClose(timeAfter(1900)));
    }

    @Test
    void deadlinesAreCappedAndUnattainableObjectivesRejected() {
        shutdown.start(STARTED_AT);
        assertEquals(3000 * MILLI, shutdown.allowedTime(timeAfter(500), 3000 * MILLI, 1200 * MILLI));
        assertEquals(2000 * MILLI, shutdown.allowedTime(timeAfter(1500), 3000 * MILLI, 1200 * MILLI));
        assertEquals(1200 * MILLI, shutdown.allowedTime(timeAfter(2300), 3000 * MILLI, 1200 * MILLI));
        assertEquals(0, shutdown.allowedTime(timeAfter(2301), 3000 * MILLI, 1200 * MILLI));
        assertEquals(
                500 * MILLI,
                shutdown.allowedTime(timeAfter(3000), 500 * MILLI, 1200 * MILLI),
                "a short client timeout is not reduced");
        assertEquals(
                0,
                shutdown.allowedTime(timeAfter(600), 3000 * MILLI, 0),
                "without a latency objective, the complete client timeout is required");
    }

    @Test
    void idleConnectionsAreClosedGradually() {
        shutdown.start(STARTED_AT);
        int previous = 40;
        for (long t = 1900; t <= 2300; t += 20) {
            int remaining = shutdown.idleConnectionsToKeep(timeAfter(t), 40);
            assertTrue(
                    remaining <= previous && previous - remaining <= 3,
                    "at " + t + " ms: expected a gradual decrease, found " + previous + " to " + remaining);
            previous = remaining;
        }
        assertEquals(0, previous);
    }

    @Test
    void listenerStaysOpenForLateClientsAndClosesWhenIdle() {
        shutdown.start(STARTED_AT);
        assertTrue(shutdown.acceptsConnections(timeAfter(499), 0, 0));
        assertFalse(shutdown.acceptsConnections(timeAfter(500), 0, 0));
        assertTrue(shutdown.acceptsConnections(timeAfter(700), timeAfter(600), 0), "a connection arrived recently");
        assertFalse(shutdown.acceptsConnections(timeAfter(1500), timeAfter(1490), 0));
        assertFalse(shutdown.acceptsConnections(timeAfter(1900), 0, 3));
    }

    @Test
    void shutdownCompletesAfterAllDeadlinesAndBeforeTheKill() {
        assertFalse(shutdown.isComplete(timeAfter(60_000)));
        shutdown.start(STARTED_AT);
        assertFalse(shutdown.isComplete(timeAfter(3500)));
        assertTrue(shutdown.isComplete(timeAfter(3550)));
    }

    /** The platform waits for 3 s plus 0.7 s at most, so deadlines of 14 s do not delay its kill. */
    @Test
    void shutdownCompletesBeforeTheKillWithLongDeadlines() {
        GracefulShutdown longDeadlines = new GracefulShutdown(13_967 * MILLI, 5587 * MILLI);
        longDeadlines.start(STARTED_AT);
        assertTrue(longDeadlines.isComplete(timeAfter(3550)));
        for (long t = 0; t <= 3700; t += 10) {
            long allowed = longDeadlines.allowedTime(timeAfter(t), 6981 * MILLI, 2793 * MILLI);
            assertTrue(allowed == 0 || t + allowed / MILLI <= 3500, allowed / MILLI + " ms allowed at " + t + " ms");
        }
        assertEquals(
                3500 * MILLI,
                longDeadlines.allowedTime(timeAfter(0), 13_967 * MILLI, 5587 * MILLI),
                "a latency objective that ends after the kill is capped");
        assertEquals(1500 * MILLI, longDeadlines.allowedTime(timeAfter(2000), 6981 * MILLI, 2793 * MILLI));
        assertEquals(0, longDeadlines.allowedTime(timeAfter(2001), 6981 * MILLI, 2793 * MILLI));
        assertTrue(longDeadlines.acceptsConnections(timeAfter(1599), timeAfter(1590), 9));
        assertFalse(longDeadlines.sendsConnectionClose(timeAfter(1599)));
        assertTrue(longDeadlines.sendsConnectionClose(timeAfter(1600)));
        assertEquals(
                0,
                longDeadlines.idleConnectionsToKeep(timeAfter(2000), 9),
                "all idle connections are closed 1.5 s before the last answer");
    }

    @Test
    void secondStartIsIgnored() {
        shutdown.start(STARTED_AT);
        shutdown.start(timeAfter(1000));
        assertTrue(shutdown.sendsConnectionClose(timeAfter(1900)));
    }
}
