package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.ClientConnectionState.CLOSING;
import static weldhitch.node.ClientConnectionState.DISCARDING_BODY;
import static weldhitch.node.ClientConnectionState.IDLE;
import static weldhitch.node.ClientConnectionState.RECEIVING;
import static weldhitch.node.ClientConnectionState.STREAMING;
import static weldhitch.node.ClientConnectionState.WAITING;

import org.junit.jupiter.api.Test;
import weldhitch.node.ConnectionDeadlines.Expiry;

/** Tests each timeout of {@link ConnectionDeadlines} at its boundary. */
class ConnectionDeadlinesTest {
    private static final long START = 1_000_000_000_000L;

    private final ConnectionDeadlines deadlines = new ConnectionDeadlines(START);

    private void assertExpiresAfter(long timeout, Expiry expiry, ClientConnectionState state, long since) {
        assertEquals(Expiry.NONE, deadlines.expiry(state, since + timeout));
        assertEquals(expiry, deadlines.expiry(state, since + timeout + 1));
    }

    @Test
    void idleTimeoutIsShortBeforeTheFirstRequestAndLongAfterIt() {
        assertExpiresAfter(ConnectionDeadlines.FIRST_REQUEST_TIMEOUT_NANOS, Expiry.IDLE, IDLE, START);
        deadlines.requestStarted();
        assertExpiresAfter(ConnectionDeadlines.IDLE_TIMEOUT_NANOS, Expiry.IDLE, IDLE, START);
    }

    @Test
    void headTimeoutRunsFromItsFirstByteUntilTheStateChanges() {
        deadlines.headStarted(START + 7);
        assertTrue(deadlines.isReadingHead());
        assertExpiresAfter(ConnectionDeadlines.HEAD_TIMEOUT_NANOS, Expiry.HEAD, IDLE, START + 7);
        deadlines.stateChanged(START + 9);
        assertFalse(deadlines.isReadingHead());
        assertEquals(5, deadlines.timeInState(START + 14));
    }

    @Test
    void bodyTimeoutGrowsWithTheBytesReceivedSinceTheHead() {
        deadlines.bytesReceived(1_000_000, START);
        deadlines.requestStarted();
        assertExpiresAfter(ConnectionDeadlines.BODY_GRACE_NANOS, Expiry.BODY, RECEIVING, START);
        deadlines.bytesReceived((int) ConnectionDeadlines.MIN_BODY_BYTES_PER_SECOND, START + 1_000_000_000L);
        long extendedTimeout = ConnectionDeadlines.BODY_GRACE_NANOS + 1_000_000_000L;
        assertExpiresAfter(extendedTimeout, Expiry.BODY, RECEIVING, START);
        assertExpiresAfter(extendedTimeout, Expiry.BODY, DISCARDING_BODY, START);
    }

    @Test
    void bodyThatStopsExpiresHoweverMuchOfItWasReceived() {
        deadlines.requestStarted();
        deadlines.bytesReceived(10_000_000, START + 5);
        assertExpiresAfter(ConnectionDeadlines.BODY_STALL_NANOS, Expiry.BODY, RECEIVING, START + 5);
    }

    @Test
    void lingerTimeoutWaitsForPendingWrites() {
        deadlines.writeStarted(START);
        assertTrue(deadlines.hasPendingWrites());
        assertEquals(Expiry.NONE, deadlines.expiry(CLOSING, START + ConnectionDeadlines.LINGER_TIMEOUT_NANOS + 1));
        deadlines.writeCompleted();
        assertFalse(deadlines.hasPendingWrites());
        assertExpiresAfter(ConnectionDeadlines.LINGER_TIMEOUT_NANOS, Expiry.LINGER, CLOSING, START);
    }

    @Test
    void expiryWhileTheRequestIsWithTheDispatcherIsNone() {
        assertEquals(Expiry.NONE, deadlines.expiry(WAITING, Long.MAX_VALUE));
        assertEquals(Expiry.NONE, deadlines.expiry(STREAMING, Long.MAX_VALUE));
    }

    @Test
    void writeStalledCountsFromTheLatestProgressWhileAWriteIsPendingOrTheChannelIsFull() {
        long timeout = ConnectionDeadlines.WRITE_TIMEOUT_NANOS;
        deadlines.writeStarted(START);
        assertFalse(deadlines.writeStalled(START + timeout, true, false));
        assertTrue(deadlines.writeStalled(START + timeout + 1, true, false));
        deadlines.writeProgressed(START + 5);
        assertFalse(deadlines.writeStalled(START + timeout + 5, false, false));
        assertTrue(deadlines.writeStalled(START + timeout + 6, false, false));
        deadlines.writeCompleted();
        assertFalse(deadlines.writeStalled(START + timeout + 6, true, false));
        deadlines.writeStarted(START);
        assertFalse(deadlines.writeStalled(START + ConnectionDeadlines.SCARCE_MEMORY_WRITE_TIMEOUT_NANOS, true, true));
        assertTrue(
                deadlines.writeStalled(START + ConnectionDeadlines.SCARCE_MEMORY_WRITE_TIMEOUT_NANOS + 1, true, true));
    }
}
