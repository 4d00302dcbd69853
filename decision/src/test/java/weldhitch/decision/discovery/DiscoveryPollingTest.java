package weldhitch.decision.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.SECOND;

import org.junit.jupiter.api.Test;
import weldhitch.decision.discovery.DiscoveryPolling.PollFailure;

/**
 * Tests timeouts, backoff, jitter and load on a shared service of discovery polling, against the delivery deadlines of
 * updates.
 */
class DiscoveryPollingTest {
    /**
     * An update counts as delivered 2 s after a poll's wait has ended, and draining must be respected 2 s later.
     */
    @Test
    void pollIsRepeatedBeforeTheDrainGracePeriodEnds() {
        for (PollFailure failure : PollFailure.values()) {
            DiscoveryPolling polling = new DiscoveryPolling(5, 28);
            for (int i = 0; i < 100; i++) {
                long timeout = polling.responseTimeout();
                long backoff = polling.recordFailure(failure);
                assertTrue(
                        backoff >= 0 && timeout + backoff < 4 * SECOND,
                        failure + ": timeout in ns " + timeout + ", backoff in ns " + backoff);
            }
        }
    }

    @Test
    void responseTimeoutAdaptsToTheServiceLatency() {
        DiscoveryPolling polling = new DiscoveryPolling(5, 4);
        assertEquals(500 * MS, polling.responseTimeout());
        polling.recordFailure(PollFailure.TIMED_OUT);
        assertEquals(SECOND, polling.responseTimeout());
        polling.recordSuccess(900 * MS);
        assertTrue(polling.responseTimeout() >= 1800 * MS, "expected twice the lateness of the last answer");
        for (int i = 0; i < 10; i++) {
            polling.recordSuccess(15 * MS);
        }
        assertEquals(500 * MS, polling.responseTimeout());
    }

    /** The polls of all nodes fail at the same moment. */
    @Test
    void pollsAfterASharedFailureAreJittered() {
        int[] pollsPer100Ms = new int[10];
        for (int node = 0; node < 28; node++) {
            pollsPer100Ms[
                    (int) (new DiscoveryPolling(1000 + node, 28).recordFailure(PollFailure.CONNECTION_FAILED)
                            / (100 * MS))]++;
        }
        for (int count : pollsPer100Ms) {
            assertTrue(count <= 9, count + " of 28 polls within 100 ms");
        }
    }

    @Test
    void backoffGrowsWithFailuresAndResetsOnSuccess() {
        double first = 0;
        double fourth = 0;
        for (int seed = 0; seed < 200; seed++) {
            DiscoveryPolling polling = new DiscoveryPolling(seed, 2);
            first += polling.recordFailure(PollFailure.CONNECTION_FAILED);
            polling.recordFailure(PollFailure.CONNECTION_FAILED);
            polling.recordFailure(PollFailure.CONNECTION_FAILED);
            fourth += polling.recordFailure(PollFailure.CONNECTION_FAILED);
            polling.recordSuccess(0);
            assertEquals(0, polling.consecutiveFailures());
        }
        assertTrue(fourth > 5 * first, first + " ns after first failures in total, after fourth ones " + fourth);
    }

    @Test
    void fullListIsRequestedAfterRepeatedInvalidAnswers() {
        DiscoveryPolling polling = new DiscoveryPolling(5, 4);
        polling.recordFailure(PollFailure.CONNECTION_FAILED);
        polling.recordFailure(PollFailure.TIMED_OUT);
        polling.recordFailure(PollFailure.MALFORMED);
        assertFalse(polling.needsFullList());
        polling.recordFailure(PollFailure.STALE);
        assertTrue(polling.needsFullList());
        polling.recordSuccess(0);
        assertFalse(polling.needsFullList());
        polling.onServiceChanged();
        assertTrue(polling.needsFullList(), "versions of another discovery service are not comparable");
    }

    /**
     * An update must be delivered within 6 s after discovery had it and was reachable, whatever failed before. Up to
     * two polls fail, the one in progress at that moment and one more. Each is lost, rejected, broken or answered with
     * an invalid list, or its connect hangs.
     */
    @Test
    void agentChangeArrivesWithinSixSecondsAfterAnyFailure() {
        java.util.SplittableRandom random = new java.util.SplittableRandom(6);
        long max = 0;
        for (int history = 0; history < 20_000; history++) {
            DiscoveryPolling polling = new DiscoveryPolling(history, 1 + random.nextInt(400));
            for (int i = random.nextInt(6); i > 0; i--) {
                polling.recordSuccess(random.nextLong(1250 * MS));
            }
            long reachableAt = random.nextLong(20 * SECOND);
            int failuresLeft = random.nextInt(2);
            long now = 0;
            while (now < reachableAt || failuresLeft > 0) {
                failuresLeft -= now < reachableAt ? 0 : 1;
                PollFailure failure = PollFailure.values()[random.nextInt(PollFailure.values().length)];
                now += switch (failure) {
                    case TIMED_OUT -> polling.requestedWait() + polling.responseTimeout();
                    case CONNECTION_FAILED ->
                        random.nextBoolean() ? polling.connectTimeout() : random.nextLong(polling.requestedWait() + 1);
                    default -> 20 * MS;
                };
                now += polling.recordFailure(failure);
            }
            max = Math.max(max, now + 50 * MS - reachableAt);
        }
        System.out.println("agent: update received " + max / MS
                + " ms after discovery was reachable, the latest of 20,000 histories");
        assertTrue(max < 6 * SECOND, max / MS + " ms until an update was received");
    }

    /** Regression: after a failed poll, answers of an agent that took 2 s or more were never received again. */
    @Test
    void slowAgentAnswersInTimeAfterAnyFailure() {
        for (PollFailure failure : PollFailure.values()) {
            DiscoveryPolling polling = new DiscoveryPolling(5, 28);
            polling.recordFailure(failure);
            int timeouts = 0;
            while (polling.responseTimeout() < 2400 * MS && timeouts < 10) {
                polling.recordFailure(PollFailure.TIMED_OUT);
                timeouts++;
            }
            assertTrue(timeouts <= 4, failure + ": timeout still too short after " + timeouts + " unanswered polls");
        }
    }

    // Tests of one service that all nodes share.

    private static DiscoveryPolling ofSharedService(long seed, int nodeCount) {
        return DiscoveryPolling.ofSharedService(seed, nodeCount, 10 * SECOND);
    }

    @Test
    void agentIsPolledImmediatelyWithoutPauses() {
        DiscoveryPolling polling = new DiscoveryPolling(5, 200);
        assertEquals(0, polling.pauseBetweenPolls());
        assertEquals(0, polling.onServiceChanged());
        assertEquals(2 * SECOND, polling.watchDuration());
    }

    /**
     * A node that has a list must receive an update within 6 s after the shared service had it and was reachable, or
     * within 2 s after the wait of a lost watch, whatever failed before. This does not apply to a node that the service
     * rejects because of overload.
     */
    @Test
    void sharedServiceChangeArrivesInTimeAfterAnyFailure() {
        java.util.SplittableRandom random = new java.util.SplittableRandom(7);
        long max = 0;
        for (int history = 0; history < 20_000; history++) {
            DiscoveryPolling polling = ofSharedService(history, 1 + random.nextInt(1000));
            for (int i = 1 + random.nextInt(6); i > 0; i--) {
                polling.recordSuccess(random.nextLong(2500 * MS));
            }
            for (int i = random.nextInt(8); i > 0; i--) {
                polling.recordFailure(
                        PollFailure.values()[random.nextInt(PollFailure.values().length)],
                        random.nextInt(4) * 5 * SECOND);
            }
            // The poll in progress begins at 0. At some time during it, discovery becomes reachable again and has an
            // update.
            PollFailure[] kinds = {
                PollFailure.TIMED_OUT, PollFailure.CONNECTION_FAILED, PollFailure.MALFORMED, PollFailure.STALE
            };
            PollFailure failure = kinds[random.nextInt(kinds.length)];
            boolean connectHangs = failure == PollFailure.CONNECTION_FAILED && random.nextBoolean();
            long requestedWait = polling.requestedWait();
            long endedAt = failure == PollFailure.TIMED_OUT
                    ? requestedWait + polling.responseTimeout()
                    : connectHangs ? polling.connectTimeout() : random.nextLong(requestedWait + 1);
            // A poll that was answered or broken would have delivered earlier updates before its end.
            long changedAt = failure == PollFailure.TIMED_OUT || connectHangs ? random.nextLong(endedAt) : endedAt;
            long receivedAt = endedAt + polling.recordFailure(failure) + 200 * MS;
            // An update that occurs late in a lost watch counts as delivered later than this, but no node can know when
            // it occurred.
            long limit = failure == PollFailure.TIMED_OUT && requestedWait > 0
                    ? requestedWait + 2 * SECOND
                    : changedAt + 6 * SECOND;
            max = Math.max(max, receivedAt - changedAt);
            assertTrue(
                    receivedAt <= limit,
                    failure + " after " + requestedWait / MS + " ms: update received at " + receivedAt / MS
                            + " ms, expected by " + limit / MS);
        }
        System.out.println("shared service: update received " + max / MS
                + " ms after discovery was reachable, the latest of 20,000 histories");
    }

    /**
     * A new configuration reaches all nodes at once, so their polls are spread over a time that grows with the number
     * of nodes, up to 2 s.
     */
    @Test
    void firstPollsOfANewServiceAreSpreadByFleetSize() {
        for (int nodes : new int[] {1, 20, 200, 1000}) {
            long max = 0;
            for (int node = 0; node < nodes; node++) {
                max = Math.max(max, ofSharedService(node, nodes).onServiceChanged());
            }
            assertTrue(max <= Math.min(2 * SECOND, nodes * 25 * MS), nodes + " nodes: longest delay in ns: " + max);
            assertTrue(
                    nodes < 20 || max > 0.7 * Math.min(2 * SECOND, nodes * 25 * MS),
                    nodes + " nodes: longest delay in ns: " + max);
        }
    }

    @Test
    void backoffStaysWithinHalfOfTheMaxPollInterval() {
        for (int seed = 0; seed < 100; seed++) {
            DiscoveryPolling polling = DiscoveryPolling.ofSharedService(seed, 1000, 3 * SECOND);
            for (int i = 0; i < 10; i++) {
                assertTrue(polling.recordFailure(PollFailure.CONNECTION_FAILED) <= 1500 * MS);
            }
        }
    }

    /**
     * The service continues to work on an abandoned poll, so a node without a list must not poll an overloaded service
     * twice.
     */
    @Test
    void firstResponseOfASharedServiceHasALongerTimeout() {
        DiscoveryPolling polling = ofSharedService(5, 100);
        assertEquals(10 * SECOND, polling.responseTimeout());
        polling.recordSuccess(0);
        assertEquals(
                1500 * MS,
                polling.responseTimeout(),
                "updates that a lost watch misses count as delivered 2 s after its wait");
        polling.onServiceChanged();
        assertEquals(10 * SECOND, polling.responseTimeout());
    }

    @Test
    void overloadedServiceIsPolledLessUntilItRecovers() {
        DiscoveryPolling polling = ofSharedService(5, 200);
        polling.recordSuccess(0);
        assertEquals(4 * SECOND, polling.watchDuration());
        long max = 0;
        for (int i = 0; i < 200; i++) {
            max = Math.max(max, polling.recordFailure(PollFailure.REJECTED));
        }
        assertTrue(max > 14 * SECOND && max <= 16 * SECOND, "longest backoff in ns: " + max);
        assertEquals(10 * SECOND, polling.watchDuration());
        for (int i = 0; i < 16; i++) {
            polling.recordSuccess(0);
        }
        assertEquals(4 * SECOND, polling.watchDuration());
    }

    @Test
    void unreachableServiceIsPolledWithinFiveSeconds() {
        DiscoveryPolling polling = ofSharedService(5, 400);
        for (int i = 0; i < 200; i++) {
            assertTrue(polling.recordFailure(PollFailure.CONNECTION_FAILED) <= 5 * SECOND);
        }
    }

    @Test
    void retryAfterIsHonoured() {
        for (int seed = 0; seed < 50; seed++) {
            assertTrue(ofSharedService(seed, 4).recordFailure(PollFailure.REJECTED, 3 * SECOND) >= 3 * SECOND);
            assertTrue(
                    ofSharedService(seed, 4).recordFailure(PollFailure.REJECTED, 3600 * SECOND) <= 17 * SECOND,
                    "the backoff is bounded, however long the Retry-After advice");
            assertTrue(
                    new DiscoveryPolling(seed, 4).recordFailure(PollFailure.REJECTED, 3 * SECOND) <= SECOND,
                    "an agent's Retry-After advice is ignored");
        }
    }

    /** After any history of failures and successes there is another poll within a bounded time. */
    @Test
    void everyHistoryLeadsToAnotherPollInTime() {
        java.util.SplittableRandom random = new java.util.SplittableRandom(11);
        for (int history = 0; history < 300; history++) {
            DiscoveryPolling polling = ofSharedService(history, 1 + random.nextInt(2000));
            for (int i = 0; i < 60; i++) {
                int step = random.nextInt(7);
                long wait = step < 5
                        ? polling.recordFailure(PollFailure.values()[step])
                        : step == 5 ? polling.onServiceChanged() : polling.pauseBetweenPolls();
                if (step == 6) {
                    polling.recordSuccess(random.nextLong(-SECOND, 3 * SECOND));
                }
                assertTrue(wait >= 0 && wait <= 16 * SECOND, "wait in ns: " + wait);
                assertTrue(polling.watchDuration() >= 2 * SECOND && polling.watchDuration() <= 10 * SECOND);
                assertTrue(polling.responseTimeout() >= 500 * MS && polling.responseTimeout() <= 10 * SECOND);
            }
        }
    }
}
