package weldhitch.client.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldhitch.client.policy.ClientAction.CancelAttempt;
import weldhitch.client.policy.ClientAction.CompleteCall;
import weldhitch.client.policy.ClientAction.QueryScope;
import weldhitch.client.policy.ClientAction.ScheduleTimer;
import weldhitch.client.policy.ClientAction.SendAttempt;
import weldhitch.client.policy.ClientEvent.AttemptEnded;
import weldhitch.client.policy.ClientEvent.CallStarted;
import weldhitch.client.policy.ClientEvent.DeduplicationScopeStated;
import weldhitch.client.policy.ClientEvent.NodesChanged;
import weldhitch.client.policy.ClientEvent.ScopeQueryEnded;
import weldhitch.client.policy.ClientEvent.TimerFired;

/**
 * Drives a {@link CallStateMachine} with a manual clock, and asserts the invariants of every run. All calls are of one
 * request class. Used by one test thread.
 */
final class ClientHarness {
    private static final String REQUEST_CLASS = "c";
    private static final long S = ClientPolicy.SECOND;

    final CallStateMachine stateMachine;
    private final long deduplicationWindow;
    private final boolean declaredGloballyDeduplicated;
    private final Map<String, StatedDeduplicationScope> statedScopes = new LinkedHashMap<>();
    /** Whether queries for the deduplication scope wait for {@link #endQuery}; no node knows them otherwise. */
    boolean holdsQueries;
    /** The query in flight; null if there is none. */
    QueryScope query;

    int queryCount;
    private long queryTimeoutAt = Long.MAX_VALUE;
    final Map<Long, Idempotency> idempotencyByCall = new LinkedHashMap<>();
    final Map<Long, Long> deadlineByCall = new LinkedHashMap<>();
    final Map<Long, SendAttempt> outstanding = new LinkedHashMap<>();
    final Map<Long, Integer> possibleExecutions = new LinkedHashMap<>();
    /** Time at which the first attempt of each call was sent that may have been executed, in nanoseconds. */
    private final Map<Long, Long> possiblyExecutedSince = new LinkedHashMap<>();

    private final Map<Long, Long> lastSentAt = new LinkedHashMap<>();
    final Map<Long, CompleteCall> completions = new LinkedHashMap<>();
    final List<SendAttempt> attempts = new ArrayList<>();
    long now = 1000 * S;
    long timerAt = Long.MAX_VALUE;

    ClientHarness(ClientPolicy policy, long seed, String... nodes) {
        stateMachine = new CallStateMachine(policy, List.of(nodes), seed);
        deduplicationWindow = policy.deduplicationWindow();
        declaredGloballyDeduplicated = policy.globallyDeduplicatedClasses().contains(REQUEST_CLASS);
    }

    void handle(ClientEvent event) {
        List<ClientAction> actions = stateMachine.handle(now, event);
        statedScopes.keySet().retainAll(stateMachine.nodes());
        for (ClientAction action : actions) {
            if (action instanceof SendAttempt attempt) {
                assertFalse(completions.containsKey(attempt.callId()), "attempt after completion: " + attempt);
                assertFalse(outstanding.containsKey(attempt.callId()), "two concurrent attempts: " + attempt);
                assertEquals(deadlineByCall.get(attempt.callId()) - now, attempt.remainingTime());
                assertTrue(attempt.remainingTime() > 0, "attempt after the deadline");
                assertTrue(
                        idempotencyByCall.get(attempt.callId()) != Idempotency.NON_IDEMPOTENT
                                || possibleExecutions.getOrDefault(attempt.callId(), 0) == 0,
                        "possibly executed twice: " + attempt);
                assertTrue(
                        idempotencyByCall.get(attempt.callId()) != Idempotency.IDEMPOTENCY_KEY
                                || possibleExecutions.getOrDefault(attempt.callId(), 0) == 0
                                || allServersDeduplicate(),
                        "possibly executed again by servers that do not discard repeats: " + attempt);
                assertTrue(
                        idempotencyByCall.get(attempt.callId()) != Idempotency.IDEMPOTENCY_KEY
                                || possibleExecutions.getOrDefault(attempt.callId(), 0) == 0
                                || now - possiblyExecutedSince.get(attempt.callId()) < deduplicationWindow,
                        "possibly executed again after the deduplication window: " + attempt);
                assertTrue(attempt.sendableTime() > 0, "not sendable: " + attempt);
                assertTrue(
                        idempotencyByCall.get(attempt.callId()) != Idempotency.IDEMPOTENCY_KEY
                                || possibleExecutions.getOrDefault(attempt.callId(), 0) == 0
                                || now + attempt.sendableTime() - possiblyExecutedSince.get(attempt.callId())
                                        <= deduplicationWindow,
                        "sendable after the deduplication window: " + attempt);
                lastSentAt.put(attempt.callId(), now);
                outstanding.put(attempt.callId(), attempt);
                attempts.add(attempt);
            } else if (action instanceof CompleteCall completion) {
                assertEquals(null, completions.put(completion.callId(), completion), "call completed twice");
                outstanding.remove(completion.callId());
                boolean notExecuted = possibleExecutions.getOrDefault(completion.callId(), 0) == 0;
                switch (completion.result()) {
                    case REJECTED, THROTTLED, UNREACHABLE, DEADLINE_EXCEEDED ->
                        assertTrue(
                                notExecuted || idempotencyByCall.get(completion.callId()) == Idempotency.IDEMPOTENT,
                                "reported as not executed, but possibly executed: " + completion);
                    case FAILED -> assertEquals(Idempotency.IDEMPOTENT, idempotencyByCall.get(completion.callId()));
                    case OUTCOME_UNKNOWN ->
                        assertTrue(idempotencyByCall.get(completion.callId()) != Idempotency.IDEMPOTENT);
                    case SUCCEEDED, CANCELLED -> {}
                }
            } else if (action instanceof CancelAttempt cancelled) {
                recordPossibleExecution(cancelled.callId());
                outstanding.remove(cancelled.callId());
            } else if (action instanceof QueryScope newQuery) {
                startQuery(newQuery);
            } else if (action instanceof ScheduleTimer timer) {
                timerAt = Math.min(timerAt, timer.at());
            }
        }
        if (query != null && !holdsQueries) {
            endQuery(AttemptOutcome.ERROR_RESPONSE, StatedDeduplicationScope.NOT_STATED);
        }
    }

    private void startQuery(QueryScope newQuery) {
        assertEquals(null, query, "two concurrent queries");
        assertTrue(newQuery.timeout() > 0, "query without time left");
        assertTrue(stateMachine.nodes().contains(newQuery.node()), "query to a node that is not in use");
        assertFalse(statedScopes.containsKey(newQuery.node()), "query to a node that has shown what it states");
        assertTrue(
                !declaredGloballyDeduplicated && statedScopes.values().stream().noneMatch(ClientHarness::isStated),
                "query for a scope that is known");
        query = newQuery;
        queryCount++;
        queryTimeoutAt = now + newQuery.timeout();
    }

    /**
     * Ends the query in flight.
     *
     * @param scope what the node's response states; null if there is no response
     */
    void endQuery(AttemptOutcome outcome, StatedDeduplicationScope scope) {
        QueryScope endedQuery = query;
        query = null;
        queryTimeoutAt = Long.MAX_VALUE;
        if (scope != null) {
            stateScope(endedQuery.node(), scope);
        }
        handle(new ScopeQueryEnded(endedQuery.requestClass(), outcome, 0));
    }

    private static boolean isStated(StatedDeduplicationScope scope) {
        return scope != StatedDeduplicationScope.NOT_STATED;
    }

    /** Passes a node's statement about the request class of all calls to the state machine. */
    void stateScope(String node, StatedDeduplicationScope scope) {
        if (stateMachine.nodes().contains(node)) {
            statedScopes.put(node, scope);
        }
        handle(new DeduplicationScopeStated(node, REQUEST_CLASS, scope));
    }

    /** Replaces the list of nodes. */
    void changeNodes(List<String> nodes) {
        handle(new NodesChanged(nodes));
    }

    private void recordPossibleExecution(long callId) {
        possibleExecutions.merge(callId, 1, Integer::sum);
        possiblyExecutedSince.putIfAbsent(callId, lastSentAt.get(callId));
    }

    private boolean allServersDeduplicate() {
        List<StatedDeduplicationScope> stated =
                statedScopes.values().stream().filter(ClientHarness::isStated).toList();
        return stated.isEmpty()
                ? declaredGloballyDeduplicated
                : stated.stream().allMatch(scope -> scope == StatedDeduplicationScope.ALL_SERVERS);
    }

    void startCall(long callId, Idempotency idempotency, long timeout) {
        idempotencyByCall.put(callId, idempotency);
        deadlineByCall.put(callId, now + timeout);
        handle(new CallStarted(callId, REQUEST_CLASS, idempotency, now + timeout));
    }

    void endAttempt(long callId, AttemptOutcome outcome, long retryAfter) {
        SendAttempt attempt = outstanding.remove(callId);
        if (!outcome.notExecuted && outcome != AttemptOutcome.OK) {
            recordPossibleExecution(callId);
        }
        handle(new AttemptEnded(callId, attempt.attempt(), outcome, retryAfter));
    }

    /** Advances the clock to this time, and fires every timer and ends every overdue query on the way. */
    void advanceTo(long time) {
        while (Math.min(timerAt, queryTimeoutAt) <= time) {
            now = Math.max(now, Math.min(timerAt, queryTimeoutAt));
            if (queryTimeoutAt <= timerAt) {
                endQuery(AttemptOutcome.TRANSPORT_ERROR, null);
            } else {
                timerAt = Long.MAX_VALUE;
                handle(new TimerFired());
            }
        }
        now = time;
    }

    /** Drops the records of ended calls, because those of thousands of clients would not fit into memory. */
    void clearHistory() {
        idempotencyByCall.clear();
        deadlineByCall.clear();
        possibleExecutions.clear();
        possiblyExecutedSince.clear();
        lastSentAt.clear();
        completions.clear();
        attempts.clear();
    }

    CallResult result(long callId) {
        return completions.containsKey(callId) ? completions.get(callId).result() : null;
    }
}
