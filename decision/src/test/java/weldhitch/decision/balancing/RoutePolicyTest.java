package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.SECOND;
import static weldhitch.decision.balancing.BalancerHarness.chosenEndpoint;
import static weldhitch.decision.balancing.BalancerHarness.single;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingDisabled;
import weldhitch.decision.routing.RoutePolicy.HedgingPolicy;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.routing.RouteTable.Route;

/** Tests the effect of route policies on the balancer's decisions, with a manual clock. */
class RoutePolicyTest {
    private final BalancerHarness harness =
            BalancerHarness.withDefaultSettings().withEndpoints("a1", "a2", "b1", "b2");

    private static RoutePolicy policy(long deadline, long timeout, int attempts, Backoff backoff, HedgingPolicy hedge) {
        return new RoutePolicy(
                deadline, timeout, attempts, backoff, RoutePolicy.RETRYABLE, null, hedge, null, Map.of());
    }

    private static RoutePolicy maxAttempts(int attempts) {
        return policy(0, 0, attempts, null, null);
    }

    private void activate(RoutePolicy policy) {
        harness.handle(new RoutesChanged(new RouteTable(List.of(new Route("r", 2, RoutePattern.ALL, policy)))));
    }

    private List<BalancerAction> sendRequest(String requestId, String requestClass, String tenant) {
        return harness.handle(
                new RequestArrived(requestId, requestClass, harness.now + 2 * SECOND, tenant, 0, false, "GET", "/x"));
    }

    private List<BalancerAction> sendRequest(String requestId) {
        return sendRequest(requestId, "read", null);
    }

    /** Fails every attempt until the request is rejected or fails, and returns the number of attempts. */
    private int failAllAttempts(String requestId, AttemptOutcome outcome) {
        List<BalancerAction> actions = sendRequest(requestId);
        int attempts = 0;
        while (single(actions, RejectRequest.class).isEmpty()
                && single(actions, FailRequest.class).isEmpty()) {
            String endpointId = chosenEndpoint(actions);
            actions = endpointId == null
                    ? harness.fireTimer(actions)
                    : harness.endAttempt(requestId, attempts++, endpointId, outcome, MS);
        }
        return attempts;
    }

    @Test
    void withoutRoutesPlatformLimitsApply() {
        assertEquals(4, failAllAttempts("r", AttemptOutcome.CONNECT_FAILED));
    }

    @Test
    void routeLowersButNeverRaisesMaxAttempts() {
        activate(maxAttempts(2));
        assertEquals(2, failAllAttempts("r", AttemptOutcome.CONNECT_FAILED));
        activate(maxAttempts(9));
        assertEquals(4, failAllAttempts("s", AttemptOutcome.CONNECT_FAILED));
    }

    @Test
    void requestKeepsThePolicyOfItsArrival() {
        activate(maxAttempts(2));
        String first = chosenEndpoint(sendRequest("r"));
        activate(maxAttempts(1));
        assertNotNull(
                chosenEndpoint(harness.endAttempt("r", 0, first, AttemptOutcome.CONNECT_FAILED, MS)),
                "two attempts were allowed when the request arrived");
        harness.handle(new RoutesChanged(null));
        assertEquals(4, failAllAttempts("s", AttemptOutcome.CONNECT_FAILED));
    }

    @Test
    void routeDeadlineCapsTheRequestAndIsReported() {
        activate(policy(500 * MS, 0, 1, null, null));
        List<BalancerAction> actions = sendRequest("r", "write", null);
        assertEquals(500 * MS, single(actions, SendAttempt.class).orElseThrow().timeout());
        harness.now += 500 * MS;
        FailRequest fail = single(
                        harness.endAttempt("r", 0, chosenEndpoint(actions), AttemptOutcome.TIMED_OUT, 500 * MS),
                        FailRequest.class)
                .orElseThrow();
        assertTrue(fail.routeDeadlineExceeded());
    }

    @Test
    void attemptTimeoutIsCappedByTheRemainingTime() {
        activate(policy(500 * MS, 300 * MS, 2, null, new HedgingDisabled()));
        List<BalancerAction> actions = sendRequest("r");
        assertEquals(300 * MS, single(actions, SendAttempt.class).orElseThrow().timeout());
        harness.now += 300 * MS;
        actions = harness.endAttempt("r", 0, chosenEndpoint(actions), AttemptOutcome.TIMED_OUT, 300 * MS);
        assertEquals(200 * MS, single(actions, SendAttempt.class).orElseThrow().timeout());
    }

    @Test
    void onlyConfiguredOutcomesAreRetried() {
        activate(new RoutePolicy(0, 0, 0, null, Set.of(AttemptOutcome.FULL), null, null, null, Map.of()));
        assertEquals(4, failAllAttempts("r", AttemptOutcome.FULL));
        assertEquals(1, failAllAttempts("s", AttemptOutcome.CONNECT_FAILED));
        assertEquals(1, failAllAttempts("t", AttemptOutcome.RESET));
    }

    @Test
    void routeCannotAllowRetriesOfPossiblyExecutedNonIdempotentRequests() {
        activate(maxAttempts(4));
        String endpointId = chosenEndpoint(sendRequest("r", "write", null));
        assertTrue(single(harness.endAttempt("r", 0, endpointId, AttemptOutcome.RESET, MS), FailRequest.class)
                .isPresent());
    }

    @Test
    void backoffHasFullJitterUpToItsCeiling() {
        activate(policy(0, 0, 4, new Backoff(20 * MS, 60 * MS), new HedgingDisabled()));
        long[] ceilings = {20 * MS, 40 * MS, 60 * MS};
        double[] meanFractions = new double[3];
        int requests = 200;
        for (int i = 0; i < requests; i++) {
            String endpointId = chosenEndpoint(sendRequest("r" + i));
            for (int retry = 1; retry <= 3; retry++) {
                long failedAt = harness.now;
                List<BalancerAction> actions =
                        harness.endAttempt("r" + i, retry - 1, endpointId, AttemptOutcome.CONNECT_FAILED, 0);
                for (endpointId = chosenEndpoint(actions); endpointId == null; endpointId = chosenEndpoint(actions)) {
                    // An older timer may fire first; the timer of the backoff is then still scheduled.
                    actions = single(actions, ScheduleTimer.class).isPresent()
                            ? harness.fireTimer(actions)
                            : fireTimerAfter(MS / 10);
                }
                long backoff = harness.now - failedAt;
                assertTrue(backoff <= ceilings[retry - 1] + MS / 10, "backoff in ns, retry " + retry + ": " + backoff);
                meanFractions[retry - 1] += (double) backoff / ceilings[retry - 1] / requests;
            }
            harness.endAttempt("r" + i, 3, endpointId, AttemptOutcome.CONNECT_FAILED, 0);
        }
        for (double fraction : meanFractions) {
            assertEquals(0.5, fraction, 0.1, "mean backoff as a fraction of its ceiling");
        }
    }

    private List<BalancerAction> fireTimerAfter(long delay) {
        harness.now += delay;
        return harness.handle(new TimerFired("due"));
    }

    @Test
    void backoffPastTheDeadlineEndsTheRequest() {
        activate(policy(100 * MS, 0, 4, new Backoff(50 * SECOND, 50 * SECOND), new HedgingDisabled()));
        String endpointId = chosenEndpoint(sendRequest("r"));
        assertTrue(
                single(harness.endAttempt("r", 0, endpointId, AttemptOutcome.CONNECT_FAILED, MS), RejectRequest.class)
                        .isPresent());
    }

    @Test
    void retriesStayWithinTheBudgetWhileAllEndpointsFail() {
        activate(new RoutePolicy(
                0,
                0,
                0,
                null,
                RoutePolicy.RETRYABLE,
                new RetryBudgetSettings(0.2, 0),
                new HedgingDisabled(),
                null,
                Map.of()));
        int attempts = 0;
        int requests = 500;
        for (int i = 0; i < requests; i++) {
            harness.now += 50 * MS;
            attempts += failAllAttempts("r" + i, i % 2 == 0 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET);
        }
        assertTrue(attempts <= 1.2 * requests && attempts >= 1.15 * requests, attempts + " attempts for " + requests);
    }

    @Test
    void idempotentRequestIsHedgedAfterTheDelay() {
        activate(policy(0, 0, 2, null, new HedgeAfterDelay(30 * MS)));
        List<BalancerAction> actions = sendRequest("r");
        assertEquals(30 * MS, single(actions, ScheduleTimer.class).orElseThrow().delay());
        assertNotNull(chosenEndpoint(harness.fireTimer(actions)));
        assertFalse(
                single(sendRequest("w", "write", null), ScheduleTimer.class).isPresent(),
                "a non-idempotent request must not be hedged");
    }

    @Test
    void hedgingAtPercentileWaitsForEnoughSamples() {
        activate(policy(0, 0, 2, null, new HedgeAtPercentile(50)));
        List<Integer> hedgedRequests = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            List<BalancerAction> actions = sendRequest("r" + i);
            if (single(actions, ScheduleTimer.class).isPresent()) {
                hedgedRequests.add(i);
                assertEquals(
                        10 * MS,
                        single(actions, ScheduleTimer.class).orElseThrow().delay());
            }
            harness.now += 10 * MS;
            harness.endAttempt("r" + i, 0, chosenEndpoint(actions), AttemptOutcome.OK, 10 * MS);
            // Fires the expired timers, so that each request's own timer is visible.
            fireTimerAfter(SECOND);
        }
        assertEquals(20, hedgedRequests.get(0), "the first hedged request follows twenty samples");
        assertEquals(10, hedgedRequests.size());
    }

    /** The end of a stream depends on how much was read, not on how fast the endpoint responded. */
    @Test
    void streamedRequestCountsItsTimeToFirstByte() {
        activate(policy(0, 0, 2, null, new HedgeAtPercentile(50)));
        for (int i = 0; i < 20; i++) {
            String endpointId = chosenEndpoint(sendRequest("s" + i));
            harness.now += 10 * MS;
            harness.handle(new ResponseStarted("s" + i, 0, endpointId, 10 * MS));
            harness.endAttempt("s" + i, 0, endpointId, AttemptOutcome.OK, SECOND);
            fireTimerAfter(SECOND);
        }
        assertEquals(
                10 * MS,
                single(sendRequest("r"), ScheduleTimer.class).orElseThrow().delay());
    }

    @Test
    void requestsRejectedByTenantQuotaEarnNoRetries() {
        activate(new RoutePolicy(
                0,
                0,
                0,
                null,
                RoutePolicy.RETRYABLE,
                new RetryBudgetSettings(0.5, 0),
                new HedgingDisabled(),
                null,
                Map.of("*", 2.0)));
        String endpointId = chosenEndpoint(sendRequest("in"));
        for (int i = 0; i < 10; i++) {
            assertNull(chosenEndpoint(sendRequest("out" + i)));
        }
        assertNull(
                chosenEndpoint(harness.endAttempt("in", 0, endpointId, AttemptOutcome.CONNECT_FAILED, MS)),
                "one retry for one request exceeds the ratio of 0.5");
    }

    @Test
    void tenantOverQuotaIsRejectedWithRetryAfter() {
        activate(new RoutePolicy(
                0,
                0,
                0,
                null,
                RoutePolicy.RETRYABLE,
                null,
                null,
                new RetryAfterBounds(200 * MS, 800 * MS),
                Map.of("t", 8.0, "*", 2.0)));
        int served = 0;
        RejectRequest rejected = null;
        for (int i = 0; i < 10; i++) {
            List<BalancerAction> actions = sendRequest("t" + i, "read", "t");
            served += chosenEndpoint(actions) == null ? 0 : 1;
            rejected = single(actions, RejectRequest.class).orElse(rejected);
        }
        assertEquals(4, served, "half of the quota of 8 per second, which two nodes share");
        assertEquals(250 * MS, rejected.retryAfter(), MS);
        assertNotNull(chosenEndpoint(sendRequest("o1", "read", "other")));
        RejectRequest other =
                single(sendRequest("o2", "read", null), RejectRequest.class).orElseThrow();
        assertEquals(800 * MS, other.retryAfter(), "1 s is above the route's maximum");
        activate(new RoutePolicy(0, 0, 0, null, RoutePolicy.RETRYABLE, null, null, null, Map.of("t", 8.0)));
        assertNull(chosenEndpoint(sendRequest("again", "read", "t")), "new routes refilled the token bucket");
        harness.now += SECOND;
        assertNotNull(chosenEndpoint(sendRequest("later", "read", "t")));
    }
}
