package weldhitch.decision.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the times that {@link PollHistory} determines from polls, and that an assumed arrival is never later than the
 * actual one by more than the ignored age.
 */
class PollHistoryTest {
    private static final long MILLI = 1_000_000L;
    private static final long POLL = PollHistory.MAX_POLL_INTERVAL;

    private final PollHistory history = new PollHistory(0);

    @Test
    void pollStartedReportsOnlyStalls() {
        assertEquals(0, history.pollStarted(POLL));
        assertEquals(0, history.pollStarted(POLL + PollHistory.STALL));
        long stall = PollHistory.STALL + 1;
        assertEquals(stall, history.pollStarted(POLL + PollHistory.STALL + stall));
    }

    @Test
    void arrivedNotBeforeIsThePollBeforeTheLast() {
        history.pollStarted(10 * MILLI);
        history.pollStarted(500 * MILLI);
        assertEquals(10 * MILLI, history.arrivedNotBefore());
        assertEquals(10 * MILLI, history.arrivedNotBefore(5 * MILLI, 1 * MILLI));
    }

    @Test
    void firstPollOfAConnectionMayReportInputFromBeforeItWasAccepted() {
        history.pollStarted(10 * MILLI);
        history.pollStarted(500 * MILLI);
        long acceptedAt = 501 * MILLI;
        long connectedNotBefore = history.arrivedNotBefore();
        history.pollStarted(502 * MILLI);
        assertEquals(10 * MILLI, history.arrivedNotBefore(acceptedAt, connectedNotBefore));
        history.pollStarted(503 * MILLI);
        assertEquals(502 * MILLI, history.arrivedNotBefore(acceptedAt, connectedNotBefore));
    }

    @Test
    void assumedArrivalIgnoresTheAgeThatNormalPollingCauses() {
        long now = 1000 * MILLI;
        assertEquals(now, PollHistory.assumedArrival(now, now));
        assertEquals(now, PollHistory.assumedArrival(now, now - PollHistory.IGNORED_AGE));
        assertEquals(now - 1, PollHistory.assumedArrival(now, now - PollHistory.IGNORED_AGE - 1));
        assertTrue(PollHistory.IGNORED_AGE < 150 * MILLI, "the ignored age exceeds the 150 ms that are tolerated");
    }

    @Test
    void signalThatIsHandledSoonAfterAStallMayHaveBeenSentAtItsBeginning() {
        history.pollStarted(10 * MILLI);
        history.pollStarted(900 * MILLI);
        history.pollStarted(905 * MILLI);
        history.pollStarted(910 * MILLI);
        assertEquals(10 * MILLI, history.signalledNotBefore(911 * MILLI));
        history.pollStarted(900 * MILLI + PollHistory.SIGNAL_DELAY);
        assertEquals(910 * MILLI, history.signalledNotBefore(900 * MILLI + PollHistory.SIGNAL_DELAY));
    }

    @Test
    void signalWithoutAStallWasSentAfterThePreviousPoll() {
        history.pollStarted(10 * MILLI);
        history.pollStarted(20 * MILLI);
        assertEquals(10 * MILLI, history.signalledNotBefore(21 * MILLI));
    }

    /**
     * Simulates an event loop with random stalls before polls, after polls and while connections wait to be accepted.
     * The assumed arrival of a request may be later than its actual arrival by the ignored age at most.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void assumedArrivalIsLaterThanTheArrivalByTheIgnoredAgeAtMost(boolean newConnections) {
        for (long seed = 0; seed < 2000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            PollHistory polls = new PollHistory(0);
            long now = 0;
            long polledAt = 0;
            for (int pass = 0; pass < 50; pass++) {
                // Arrives after the previous poll and before the next one.
                long arrivedAt = polledAt + random.nextLong(1, pause(random));
                now = Math.max(now, arrivedAt) + random.nextLong(pause(random));
                polls.pollStarted(now);
                now += random.nextLong(pause(random));
                polledAt = now;
                now += random.nextLong(pause(random));
                long acceptedAt = 0;
                long connectedNotBefore = 0;
                if (newConnections) {
                    acceptedAt = now;
                    connectedNotBefore = polls.arrivedNotBefore();
                    now += random.nextLong(pause(random));
                    polls.pollStarted(now);
                    polledAt = now;
                }
                long notBefore = polls.arrivedNotBefore(acceptedAt, connectedNotBefore);
                long assumed = PollHistory.assumedArrival(now, notBefore);
                assertTrue(
                        assumed <= arrivedAt + PollHistory.IGNORED_AGE,
                        "seed " + seed + ": arrived at " + arrivedAt + ", assumed arrival " + assumed);
            }
        }
    }

    private static long pause(SplittableRandom random) {
        return (random.nextInt(4) == 0 ? 900 : 5) * MILLI;
    }
}
