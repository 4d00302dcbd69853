package weldhitch.client.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;
import weldhitch.client.policy.ClientAction.SendAttempt;
import weldhitch.client.policy.ClientEvent.CallCancelled;
import weldhitch.client.policy.ClientEvent.ConnectionLost;

/**
 * Tests the client state machine with a manual clock: exhaustively for up to three attempts, and with random events.
 */
class CallStateMachineTest {
    private static final long MS = ClientPolicy.MS;
    private static final long S = ClientPolicy.SECOND;
    /** No throttling, and a practically unlimited retry budget. */
    private static final ClientPolicy LENIENT_POLICY =
            new ClientPolicy(3, 10 * MS, S, 1, 1000, 100, 3, S, 60 * S, 3, 0);
    /** The same with a deduplication window that no call of a test exceeds. */
    private static final ClientPolicy KEYED_POLICY =
            new ClientPolicy(3, 10 * MS, S, 1, 1000, 100, 3, S, 60 * S, 3, 60 * S);

    /**
     * Tries every combination of outcomes of up to three attempts, including no response; the harness asserts the
     * invariants.
     */
    @Test
    void noSequenceOfOutcomesExecutesANonIdempotentCallTwiceOrLeavesACallPending() {
        for (ScopeKnowledge knowledge : ScopeKnowledge.values()) {
            endEveryCallAfterEverySequenceOfOutcomes(knowledge);
        }
    }

    /** What a client with two nodes knows of the deduplication scope. */
    private enum ScopeKnowledge {
        NONE,
        DECLARED,
        STATED,
        CONTRADICTED;

        ClientHarness harness(ClientPolicy policy, long seed) {
            ClientHarness harness = new ClientHarness(
                    this == DECLARED || this == CONTRADICTED ? policy.withGloballyDeduplicatedClasses("c") : policy,
                    seed,
                    "a:1",
                    "b:1");
            if (this == STATED || this == CONTRADICTED) {
                harness.stateScope("a:1", StatedDeduplicationScope.ALL_SERVERS);
            }
            if (this == CONTRADICTED) {
                harness.stateScope("b:1", StatedDeduplicationScope.LIMITED);
            }
            return harness;
        }
    }

    private static void endEveryCallAfterEverySequenceOfOutcomes(ScopeKnowledge knowledge) {
        int steps = 0;
        for (Idempotency idempotency : Idempotency.values()) {
            for (long deduplicationWindow : new long[] {0, 300 * MS, 60 * S}) {
                ClientPolicy policy =
                        new ClientPolicy(3, 10 * MS, S, 1, 1000, 100, 3, S, 60 * S, 3, deduplicationWindow);
                int endings = AttemptOutcome.values().length + 1;
                for (int sequence = 0; sequence < endings * endings * endings; sequence++) {
                    for (long pause : new long[] {0, 1, 400 * MS}) {
                        ClientHarness harness = knowledge.harness(policy, sequence);
                        harness.startCall(1, idempotency, 2 * S);
                        int remainder = sequence;
                        for (int i = 0; i < 3 && harness.result(1) == null; i++, remainder /= endings) {
                            harness.advanceTo(harness.now + pause);
                            steps++;
                            if (remainder % endings == endings - 1) {
                                // No response: only the deadline ends the call.
                                break;
                            }
                            if (harness.outstanding.containsKey(1L)) {
                                harness.endAttempt(
                                        1,
                                        AttemptOutcome.values()[remainder % endings],
                                        remainder % 2 == 0 ? 0 : 50 * MS);
                            }
                            harness.advanceTo(Math.min(harness.now + 1500 * MS, 1000 * S + 2 * S - 1));
                        }
                        harness.advanceTo(1000 * S + 2 * S);
                        assertTrue(harness.result(1) != null, "call did not end");
                        assertEquals(0, harness.stateMachine.pendingCallCount());
                        assertTrue(harness.attempts.size() <= 3);
                    }
                }
            }
        }
        assertTrue(steps > 9000, "steps: " + steps);
    }

    @Property(tries = 300, seed = "20261201")
    void invariantsHoldForRandomHistories(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int nodeCount,
            @ForAll @LongRange(max = 5) long deduplicationSeconds) {
        UniformRandomProvider random = new SplitMix64(seed);
        ClientPolicy policy = new ClientPolicy(
                1 + random.nextInt(5),
                10 * MS,
                S,
                random.nextDouble(),
                random.nextInt(3),
                1.1 + random.nextInt(3),
                1 + random.nextInt(4),
                500 * MS,
                20 * S,
                3,
                deduplicationSeconds * S);
        String[] nodeNames =
                IntStream.range(0, nodeCount).mapToObj(i -> "n" + i + ":1").toArray(String[]::new);
        ClientHarness harness = new ClientHarness(policy, seed, nodeNames);
        harness.holdsQueries = true;
        UniformRandomProvider scopeRandom = new SplitMix64(~seed);
        boolean limitedScopes = scopeRandom.nextBoolean();
        int stepsPerStatement = scopeRandom.nextBoolean() ? 10 : 200;
        long callCount = 0;
        for (int step = 0; step < 400; step++) {
            harness.advanceTo(harness.now + random.nextInt(100) * MS);
            if (scopeRandom.nextInt(stepsPerStatement) == 0) {
                harness.stateScope(nodeNames[scopeRandom.nextInt(nodeCount)], randomScope(scopeRandom, limitedScopes));
            }
            if (harness.query != null && scopeRandom.nextInt(3) == 0) {
                AttemptOutcome outcome = AttemptOutcome.values()[scopeRandom.nextInt(AttemptOutcome.values().length)];
                boolean responded = outcome != AttemptOutcome.NOT_SENT
                        && outcome != AttemptOutcome.STALE_CONNECTION
                        && outcome != AttemptOutcome.TRANSPORT_ERROR;
                harness.endQuery(outcome, responded ? randomScope(scopeRandom, limitedScopes) : null);
            }
            int choice = random.nextInt(10);
            if (choice < 4 || harness.outstanding.isEmpty()) {
                harness.startCall(
                        ++callCount, Idempotency.values()[random.nextInt(3)], (1 + random.nextInt(3000)) * MS);
            } else if (choice < 8) {
                Long[] outstandingIds = harness.outstanding.keySet().toArray(Long[]::new);
                harness.endAttempt(
                        outstandingIds[random.nextInt(outstandingIds.length)],
                        AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)],
                        random.nextInt(3) == 0 ? random.nextInt(5000) * MS : 0);
            } else if (choice == 8) {
                harness.handle(
                        random.nextInt(2) == 0
                                ? new CallCancelled(1 + random.nextLong(callCount))
                                : new ConnectionLost(nodeNames[random.nextInt(nodeCount)]));
            } else {
                harness.changeNodes(random.nextInt(4) == 0 ? List.of(nodeNames[0]) : List.of(nodeNames));
            }
        }
        harness.advanceTo(harness.now + 4 * S);
        assertEquals(callCount, harness.completions.size(), "number of calls that ended");
        assertEquals(0, harness.stateMachine.pendingCallCount());
        // First attempts take no retry token. One retry of each call after a stale connection or an unsent attempt
        // takes none either.
        long retries = harness.attempts.stream().filter(t -> t.attempt() > 0).count();
        double allowedRetries = 10 * Math.max(policy.retryRatio() * 10, policy.minRetriesPerSecond())
                + 1
                + policy.retryRatio() * callCount
                + policy.minRetriesPerSecond() * (harness.now - 1000 * S) / S
                + callCount;
        assertTrue(retries <= allowedRetries, retries + " retries, " + allowedRetries + " allowed");
    }

    /**
     * Regression: calls with an idempotency key were repeated by another node, which may forward them to servers that
     * do not discard the repeat, so that they were executed twice.
     */
    @Test
    void keyedCallIsRepeatedOnlyWhereAllServersAreKnownToDiscardRepeats() {
        for (ScopeKnowledge knowledge : ScopeKnowledge.values()) {
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                if (outcome == AttemptOutcome.OK) {
                    continue;
                }
                ClientHarness harness = knowledge.harness(KEYED_POLICY, 1);
                harness.startCall(1, Idempotency.IDEMPOTENCY_KEY, 3 * S);
                harness.endAttempt(1, outcome, 0);
                harness.advanceTo(harness.now + S);
                boolean mayRepeat = outcome.notExecuted
                        || knowledge == ScopeKnowledge.DECLARED
                        || knowledge == ScopeKnowledge.STATED;
                assertEquals(mayRepeat ? 2 : 1, harness.attempts.size(), knowledge + ", " + outcome);
                assertEquals(
                        mayRepeat ? null : CallResult.OUTCOME_UNKNOWN, harness.result(1), knowledge + ", " + outcome);
            }
        }
    }

    private static StatedDeduplicationScope randomScope(UniformRandomProvider random, boolean limitedScopes) {
        return switch (random.nextInt(4)) {
            case 0 -> limitedScopes ? StatedDeduplicationScope.LIMITED : StatedDeduplicationScope.ALL_SERVERS;
            case 1 -> StatedDeduplicationScope.NOT_STATED;
            default -> StatedDeduplicationScope.ALL_SERVERS;
        };
    }

    /** Returns a harness with calls 1 and 2 in flight at the first node, which no node has stated a scope for. */
    private static ClientHarness harnessWithUnknownScope(ClientPolicy policy) {
        ClientHarness harness = new ClientHarness(policy, 1, "a:1", "b:1");
        harness.holdsQueries = true;
        harness.startCall(1, Idempotency.IDEMPOTENCY_KEY, 10 * S);
        harness.startCall(2, Idempotency.IDEMPOTENCY_KEY, 10 * S);
        return harness;
    }

    /**
     * Regression: the calls of a client that were lost before any node had stated a scope were not repeated, though all
     * servers discard repeats of their class.
     */
    @Test
    void keyedCallsOfUnknownScopeAreRepeatedOnceAQueriedNodeStatesIt() {
        for (StatedDeduplicationScope scope :
                List.of(StatedDeduplicationScope.ALL_SERVERS, StatedDeduplicationScope.LIMITED)) {
            ClientHarness harness = harnessWithUnknownScope(KEYED_POLICY);
            harness.endAttempt(1, AttemptOutcome.TRANSPORT_ERROR, 0);
            harness.endAttempt(2, AttemptOutcome.TRANSPORT_ERROR, 0);
            harness.advanceTo(harness.now + S / 2);
            assertEquals(1, harness.queryCount, "calls of a class share a query");
            assertEquals(2, harness.attempts.size(), "no repeat while the scope is unknown");
            assertFalse(harness.completions.containsKey(1L));
            harness.endQuery(AttemptOutcome.OK, scope);
            boolean repeated = scope == StatedDeduplicationScope.ALL_SERVERS;
            assertEquals(repeated ? 4 : 2, harness.attempts.size(), scope.name());
            assertEquals(repeated ? null : CallResult.OUTCOME_UNKNOWN, harness.result(1));
            assertEquals(repeated ? null : CallResult.OUTCOME_UNKNOWN, harness.result(2));
            assertEquals(1, harness.queryCount);
        }
    }

    /** Each node is asked once if it responds without stating a scope, and the call ends after the last one. */
    @Test
    void keyedCallEndsOnceAllNodesHaveStatedNothing() {
        ClientHarness harness = harnessWithUnknownScope(KEYED_POLICY);
        harness.endAttempt(1, AttemptOutcome.TRANSPORT_ERROR, 0);
        harness.advanceTo(harness.now + S / 2);
        String firstNode = harness.query.node();
        harness.endQuery(AttemptOutcome.ERROR_RESPONSE, StatedDeduplicationScope.NOT_STATED);
        assertTrue(!harness.query.node().equals(firstNode), "both queries to " + firstNode);
        harness.endQuery(AttemptOutcome.ERROR_RESPONSE, StatedDeduplicationScope.NOT_STATED);
        assertEquals(CallResult.OUTCOME_UNKNOWN, harness.result(1));
        harness.endAttempt(2, AttemptOutcome.TRANSPORT_ERROR, 0);
        assertEquals(CallResult.OUTCOME_UNKNOWN, harness.result(2), "ends at once, without another query");
        assertEquals(2, harness.queryCount);
    }

    @Test
    void queriesWithoutResponseAreLimitedAndCountAgainstTheirNodes() {
        ClientHarness harness = harnessWithUnknownScope(KEYED_POLICY);
        harness.endAttempt(1, AttemptOutcome.TRANSPORT_ERROR, 0);
        harness.advanceTo(harness.now + 9 * S);
        assertEquals(KEYED_POLICY.maxAttempts(), harness.queryCount);
        assertEquals(CallResult.OUTCOME_UNKNOWN, harness.result(1));
        assertEquals(2, harness.attempts.size());
    }

    @Test
    void keyedCallThatWaitsForAQueryEndsWithItsDeduplicationWindow() {
        ClientPolicy policy = new ClientPolicy(3, 10 * MS, S, 1, 1000, 100, 3, S, 60 * S, 3, S / 2);
        ClientHarness harness = harnessWithUnknownScope(policy);
        long sentAt = harness.now;
        harness.endAttempt(1, AttemptOutcome.TRANSPORT_ERROR, 0);
        harness.advanceTo(sentAt + S / 2 - 1);
        assertEquals(null, harness.result(1));
        harness.advanceTo(sentAt + S / 2);
        assertEquals(CallResult.OUTCOME_UNKNOWN, harness.result(1));
        assertEquals(2, harness.attempts.size());
    }

    /** A client whose servers do not deduplicate, or whose policy declares the scope, has nothing to ask for. */
    @Test
    void nodesAreNotQueriedWhereTheAnswerChangesNothing() {
        for (ClientPolicy policy : List.of(LENIENT_POLICY, KEYED_POLICY.withGloballyDeduplicatedClasses("c"))) {
            ClientHarness harness = harnessWithUnknownScope(policy);
            harness.endAttempt(1, AttemptOutcome.TRANSPORT_ERROR, 0);
            harness.endAttempt(2, AttemptOutcome.NOT_SENT, 0);
            harness.startCall(3, Idempotency.NON_IDEMPOTENT, 10 * S);
            harness.endAttempt(3, AttemptOutcome.TRANSPORT_ERROR, 0);
            harness.startCall(4, Idempotency.IDEMPOTENT, 10 * S);
            harness.endAttempt(4, AttemptOutcome.TRANSPORT_ERROR, 0);
            harness.advanceTo(harness.now + S);
            assertEquals(0, harness.queryCount);
        }
    }

    /** The only node of a client is ejected: the query is its probe, and the call follows on the response. */
    @Test
    void queryServesAsTheProbeOfAnEjectedNode() {
        ClientHarness harness = new ClientHarness(KEYED_POLICY, 1, "a:1");
        harness.holdsQueries = true;
        harness.startCall(1, Idempotency.IDEMPOTENCY_KEY, 10 * S);
        harness.startCall(2, Idempotency.IDEMPOTENT, 10 * S);
        harness.startCall(3, Idempotency.IDEMPOTENT, 10 * S);
        for (long callId = 1; callId <= 3; callId++) {
            harness.endAttempt(callId, AttemptOutcome.TRANSPORT_ERROR, 0);
        }
        assertEquals(3, harness.attempts.size());
        while (harness.query == null && harness.result(1) == null) {
            harness.advanceTo(harness.now + 10 * MS);
        }
        assertEquals("a:1", harness.query.node());
        assertEquals(3, harness.attempts.size(), "attempts at a node that is being probed");
        harness.endQuery(AttemptOutcome.OK, StatedDeduplicationScope.ALL_SERVERS);
        assertTrue(harness.outstanding.containsKey(1L));
    }

    /** A node's latest statement counts, and it is forgotten with the node. */
    @Test
    void deduplicationScopeFollowsTheNodesInUse() {
        ClientHarness harness = new ClientHarness(KEYED_POLICY, 1, "a:1", "b:1");
        harness.stateScope("a:1", StatedDeduplicationScope.ALL_SERVERS);
        harness.stateScope("b:1", StatedDeduplicationScope.LIMITED);
        assertFalse(isRepeated(harness, 1));
        harness.stateScope("b:1", StatedDeduplicationScope.ALL_SERVERS);
        assertTrue(isRepeated(harness, 2));
        harness.stateScope("b:1", StatedDeduplicationScope.LIMITED);
        assertFalse(isRepeated(harness, 3));
        harness.changeNodes(List.of("a:1", "c:1"));
        assertTrue(isRepeated(harness, 4));
        harness.stateScope("b:1", StatedDeduplicationScope.LIMITED);
        assertTrue(isRepeated(harness, 5), "statement of a node that is not in use");
        harness.changeNodes(List.of("c:1", "d:1"));
        assertFalse(isRepeated(harness, 6), "no node in use has stated a scope");
    }

    /**
     * Regression: the deduplication window was compared when an attempt ended, but not when the next one was sent,
     * which is later by the backoff, or by as long as no node is available.
     */
    @Test
    void keyedCallIsNotRepeatedWhenItsDeduplicationWindowEndsWhileItWaits() {
        ClientPolicy policy = new ClientPolicy(3, 10 * MS, S, 1, 1000, 100, 3, S, 60 * S, 3, S / 2)
                .withGloballyDeduplicatedClasses("c");
        ClientHarness harness = new ClientHarness(policy, 1, "a:1");
        harness.startCall(1, Idempotency.IDEMPOTENCY_KEY, 10 * S);
        harness.startCall(2, Idempotency.IDEMPOTENCY_KEY, 10 * S);
        harness.endAttempt(1, AttemptOutcome.REJECTED, S);
        harness.endAttempt(2, AttemptOutcome.TRANSPORT_ERROR, 0);
        harness.advanceTo(harness.now + S / 2);
        assertEquals(CallResult.OUTCOME_UNKNOWN, harness.result(2), "ends as soon as no attempt can be in the window");
        assertEquals(1, harness.completions.get(2L).attempts());
    }

    /** Lets the first attempt of a keyed call end without a response, and returns whether there is another. */
    private static boolean isRepeated(ClientHarness harness, long callId) {
        harness.startCall(callId, Idempotency.IDEMPOTENCY_KEY, 3 * S);
        harness.endAttempt(callId, AttemptOutcome.STALE_CONNECTION, 0);
        harness.advanceTo(harness.now + S);
        boolean repeated = harness.outstanding.containsKey(callId);
        if (repeated) {
            harness.endAttempt(callId, AttemptOutcome.OK, 0);
        }
        return repeated;
    }

    @Test
    void retryAfterDelaysAllCallsToTheNode() {
        ClientHarness harness = new ClientHarness(LENIENT_POLICY, 1, "a:1");
        harness.startCall(1, Idempotency.NON_IDEMPOTENT, 10 * S);
        harness.startCall(2, Idempotency.IDEMPOTENT, 10 * S);
        harness.endAttempt(1, AttemptOutcome.REJECTED, 2 * S);
        long retryAfterEnd = harness.now + 2 * S;
        harness.startCall(3, Idempotency.IDEMPOTENT, 10 * S);
        assertEquals(2, harness.attempts.size());
        harness.advanceTo(retryAfterEnd - 1);
        assertEquals(2, harness.attempts.size());
        harness.advanceTo(retryAfterEnd + S);
        assertEquals(4, harness.attempts.size());
        // A call that must end before the node's Retry-After has passed is rejected at once. The result states the
        // remaining time of the node's Retry-After.
        harness.endAttempt(2, AttemptOutcome.REJECTED, 5 * S);
        harness.startCall(4, Idempotency.IDEMPOTENT, S);
        assertEquals(CallResult.REJECTED, harness.result(4));
        assertEquals(5 * S, harness.completions.get(4L).retryAfter());
        assertEquals(4, harness.attempts.size());
    }

    @Test
    void extremeRetryAfterAndClockSetBackAreTolerated() {
        ClientHarness harness = new ClientHarness(LENIENT_POLICY, 1, "a:1");
        harness.startCall(1, Idempotency.IDEMPOTENT, S);
        harness.endAttempt(1, AttemptOutcome.REJECTED, Long.MAX_VALUE);
        assertEquals(CallResult.REJECTED, harness.result(1));
        harness.now -= 500 * S;
        harness.startCall(2, Idempotency.IDEMPOTENT, 2 * S);
        harness.advanceTo(harness.now + 600 * S);
        assertTrue(harness.result(2) != null);
        ClientHarness otherHarness = new ClientHarness(LENIENT_POLICY, 1, "a:1");
        otherHarness.startCall(1, Idempotency.IDEMPOTENT, S);
        otherHarness.endAttempt(1, AttemptOutcome.REJECTED, -5 * S);
        otherHarness.advanceTo(otherHarness.now + 500 * MS);
        assertEquals(2, otherHarness.attempts.size());
    }

    @Test
    void noAttemptStartsThatCannotFinishInTime() {
        ClientHarness harness = new ClientHarness(LENIENT_POLICY, 1, "a:1");
        for (long i = 1; i <= 20; i++) {
            harness.startCall(i, Idempotency.IDEMPOTENT, S);
            harness.advanceTo(harness.now + 200 * MS);
            harness.endAttempt(i, AttemptOutcome.OK, 0);
        }
        harness.startCall(30, Idempotency.IDEMPOTENT, 150 * MS);
        assertEquals(CallResult.DEADLINE_EXCEEDED, harness.result(30));
        harness.startCall(31, Idempotency.IDEMPOTENT, 250 * MS);
        harness.advanceTo(harness.now + 100 * MS);
        harness.endAttempt(31, AttemptOutcome.ERROR_RESPONSE, 0);
        assertEquals(CallResult.FAILED, harness.result(31));
        assertEquals(21, harness.attempts.size());
    }

    @Test
    void onlyANodeRejectingMostRequestsIsThrottled() {
        ClientPolicy policy = new ClientPolicy(1, 10 * MS, S, 0, 0, 2, 1000, S, 60 * S, 3, 0);
        ClientHarness harness = new ClientHarness(policy, 7, "a:1");
        int throttled = 0;
        long lastServedAt = 0;
        // A node with a capacity of 20 requests a second, offered 200.
        for (long i = 1; i <= 1000; i++) {
            harness.startCall(i, Idempotency.IDEMPOTENT, S);
            if (harness.outstanding.containsKey(i)) {
                boolean hasCapacity = harness.now - lastServedAt >= 50 * MS;
                lastServedAt = hasCapacity ? harness.now : lastServedAt;
                harness.endAttempt(i, hasCapacity ? AttemptOutcome.OK : AttemptOutcome.REJECTED, 0);
            }
            throttled += harness.result(i) == CallResult.THROTTLED ? 1 : 0;
            harness.advanceTo(harness.now + 5 * MS);
        }
        assertTrue(throttled > 600 && throttled < 900, throttled + " of 1000 throttled");
        ClientHarness healthyHarness = new ClientHarness(policy, 7, "a:1");
        for (long i = 1; i <= 1000; i++) {
            healthyHarness.startCall(i, Idempotency.IDEMPOTENT, S);
            healthyHarness.endAttempt(i, AttemptOutcome.OK, 0);
        }
        assertTrue(healthyHarness.completions.values().stream().allMatch(f -> f.result() == CallResult.SUCCEEDED));
    }

    @Test
    void failingNodeIsEjectedProbedOnceAndRampedUp() {
        ClientHarness harness = new ClientHarness(LENIENT_POLICY, 3, "a:1", "b:1");
        long callId = 0;
        while (harness.attempts.stream().filter(t -> t.node().equals("a:1")).count() < 3) {
            harness.startCall(++callId, Idempotency.IDEMPOTENT, S);
            harness.endAttempt(
                    callId,
                    harness.outstanding.get(callId).node().equals("a:1") ? AttemptOutcome.NOT_SENT : AttemptOutcome.OK,
                    0);
            harness.advanceTo(harness.now + 20 * MS);
            for (long outstandingId : List.copyOf(harness.outstanding.keySet())) {
                harness.endAttempt(outstandingId, AttemptOutcome.OK, 0);
            }
        }
        int attemptsBefore = harness.attempts.size();
        for (int i = 0; i < 40; i++) {
            harness.startCall(++callId, Idempotency.IDEMPOTENT, S);
        }
        assertTrue(harness.attempts.subList(attemptsBefore, harness.attempts.size()).stream()
                .allMatch(t -> t.node().equals("b:1")));
        harness.advanceTo(harness.now + 900 * MS);
        for (int i = 0; i < 40; i++) {
            harness.startCall(++callId, Idempotency.IDEMPOTENT, 5 * S);
        }
        List<SendAttempt> probes = harness.outstanding.values().stream()
                .filter(t -> t.node().equals("a:1"))
                .toList();
        assertEquals(1, probes.size(), "number of calls that probe the ejected node: " + probes);
        harness.endAttempt(probes.get(0).callId(), AttemptOutcome.OK, 0);
        for (int i = 0; i < 40; i++) {
            harness.startCall(++callId, Idempotency.IDEMPOTENT, 5 * S);
        }
        assertEquals(
                2,
                harness.outstanding.values().stream()
                        .filter(t -> t.node().equals("a:1"))
                        .count(),
                "number of concurrent attempts at the recovering node");
    }

    /** After every outcome of a probe, the node gets attempts again later. */
    @Test
    void nodeIsRetriedAfterEveryProbeOutcome() {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            ClientHarness harness = new ClientHarness(LENIENT_POLICY, 5, "a:1");
            harness.handle(new ConnectionLost("a:1"));
            harness.advanceTo(harness.now + S);
            harness.startCall(1, Idempotency.NON_IDEMPOTENT, 100 * S);
            harness.endAttempt(1, outcome, 0);
            harness.advanceTo(harness.now + 50 * S);
            if (harness.outstanding.containsKey(1L)) {
                // The call was retried. A recovering node gets one attempt at a time, so this one must end first.
                harness.endAttempt(1, AttemptOutcome.OK, 0);
            }
            harness.startCall(2, Idempotency.IDEMPOTENT, 50 * S);
            harness.advanceTo(harness.now + 40 * S);
            assertTrue(harness.attempts.stream().anyMatch(t -> t.callId() == 2), outcome + ": no further attempt");
        }
    }

    /** 2,000 clients lose their only node for 10 s, and their reconnects must be spread over time. */
    @Test
    void reconnectsOfManyClientsSpreadOverTheOutageLength() {
        record Wakeup(long at, int client) {}
        int clientCount = 2000;
        long outageStart = 1001 * S;
        long outageEnd = outageStart + 10 * S;
        PriorityQueue<Wakeup> wakeups = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        ClientHarness[] harnesses = new ClientHarness[clientCount];
        TreeMap<Long, Integer> returnsByHalfSecond = new TreeMap<>();
        for (int i = 0; i < clientCount; i++) {
            harnesses[i] = new ClientHarness(LENIENT_POLICY, 1000 + i, "a:1");
            harnesses[i].now = outageStart;
            harnesses[i].handle(new ConnectionLost("a:1"));
            // Each client always has a call in flight.
            wakeups.add(new Wakeup(outageStart + i, i));
        }
        boolean[] reconnected = new boolean[clientCount];
        long lastCallId = 0;
        while (!wakeups.isEmpty()) {
            Wakeup wakeup = wakeups.poll();
            ClientHarness harness = harnesses[wakeup.client];
            harness.advanceTo(wakeup.at);
            if (harness.stateMachine.pendingCallCount() == 0) {
                harness.clearHistory();
                harness.startCall(++lastCallId, Idempotency.IDEMPOTENT, 3 * S);
            }
            for (long callId : List.copyOf(harness.outstanding.keySet())) {
                boolean reachable = harness.now >= outageEnd;
                if (reachable && !reconnected[wakeup.client]) {
                    reconnected[wakeup.client] = true;
                    returnsByHalfSecond.merge((harness.now - outageEnd) / (500 * MS), 1, Integer::sum);
                }
                harness.endAttempt(callId, reachable ? AttemptOutcome.OK : AttemptOutcome.NOT_SENT, 0);
            }
            if (!reconnected[wakeup.client]) {
                wakeups.add(new Wakeup(wakeup.at + 100 * MS, wakeup.client));
                assertTrue(wakeup.at < outageEnd + 60 * S, "client did not reconnect: " + wakeup.client);
            }
        }
        assertEquals(
                clientCount,
                returnsByHalfSecond.values().stream().mapToInt(n -> n).sum());
        int maxReturns =
                returnsByHalfSecond.values().stream().mapToInt(n -> n).max().orElseThrow();
        assertTrue(
                returnsByHalfSecond.lastKey() >= 10,
                "reconnects are spread over only " + (returnsByHalfSecond.lastKey() + 1) / 2.0 + " s: "
                        + returnsByHalfSecond);
        assertTrue(
                maxReturns < clientCount / 5,
                "too many reconnects in half a second: " + maxReturns + ": " + returnsByHalfSecond);
    }

    @Test
    void subsetsAreBalancedAndRemovingANodeMovesOnlyItsClients() {
        List<String> nodes =
                IntStream.range(0, 50).mapToObj(i -> "n" + i + ":1").toList();
        Map<String, Integer> clientsByNode = new TreeMap<>();
        int moved = 0;
        for (long clientId = 0; clientId < 10_000; clientId++) {
            List<String> subset = new CallStateMachine(LENIENT_POLICY, nodes, clientId).nodes();
            assertEquals(3, subset.size());
            subset.forEach(n -> clientsByNode.merge(n, 1, Integer::sum));
            List<String> subsetWithoutNode =
                    new CallStateMachine(LENIENT_POLICY, nodes.subList(1, 50), clientId).nodes();
            moved += subset.stream().filter(n -> !subsetWithoutNode.contains(n)).count();
            assertTrue(subset.contains("n0:1") || subset.equals(subsetWithoutNode));
        }
        assertEquals(50, clientsByNode.size());
        clientsByNode.values().forEach(n -> assertTrue(n > 480 && n < 720, clientsByNode.toString()));
        assertEquals(clientsByNode.get("n0:1"), moved);
    }

    @Test
    void allInvalidPolicyValuesAreReportedTogether() {
        String message = assertThrows(
                        IllegalArgumentException.class, () -> new ClientPolicy(0, 0, 1, 2, -1, 1, 0, 1, 0, 0, -1))
                .getMessage();
        for (String name : List.of(
                "maxAttempts",
                "initialBackoff",
                "retryRatio",
                "minRetriesPerSecond",
                "throttleMultiplier",
                "ejectionThreshold",
                "minReconnectWindow",
                "maxReconnectWindow",
                "subsetSize",
                "deduplicationWindow")) {
            assertTrue(message.contains(name + ": "), name + " in " + message);
        }
    }
}
