package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.chosenEndpoint;
import static weldhitch.decision.balancing.BalancerHarness.single;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.settings.Tenant;
import weldhitch.decision.settings.WeightKind;

/** Tests admission by the balancer: the queue by priority weight, the limit, tenant quotas and early rejection. */
class AdmissionTest {
    private static final RequestClass LOW_PRIORITY =
            BalancerHarness.requestClass("low", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass HIGH_PRIORITY = new RequestClass(
            "high",
            Idempotency.NON_IDEMPOTENT,
            DeduplicationScope.ALL,
            0,
            400 * MS,
            0,
            2 * BalancerHarness.SECOND,
            9,
            0,
            false);

    /** Sends requests until the node no longer admits them, and returns the ids of those admitted. */
    private static List<String> fillLimit(BalancerHarness harness) {
        List<String> admitted = new ArrayList<>();
        for (int i = 0; ; i++) {
            if (chosenEndpoint(harness.sendRequest("f" + i, "low")) == null) {
                return admitted;
            }
            admitted.add("f" + i);
        }
    }

    @Test
    void requestsBeyondTheLimitAreRejectedEarly() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings(LOW_PRIORITY, HIGH_PRIORITY), 1).withEndpoints("a", "b");
        assertTrue(fillLimit(harness).size() < 100);
        long before = harness.now;
        List<BalancerAction> actions = harness.fireTimer(List.of(new ScheduleTimer(100 * MS, "due")));
        assertTrue(single(actions, RejectRequest.class).orElseThrow().retryAfter() > 0, "" + actions);
        assertTrue(harness.now - before < 400 * MS);
    }

    @Test
    void highestPriorityIsAdmittedFirst() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings(LOW_PRIORITY, HIGH_PRIORITY), 1).withEndpoints("a", "b");
        List<String> admitted = fillLimit(harness);
        harness.sendRequest("high", "high");
        List<SendAttempt> admittedAttempts = new ArrayList<>();
        for (int i = 0; admittedAttempts.isEmpty(); i++) {
            harness.handle(new AttemptEnded(admitted.get(i), 0, "a", AttemptOutcome.OK, 20 * MS, true, null)).stream()
                    .filter(SendAttempt.class::isInstance)
                    .forEach(action -> admittedAttempts.add((SendAttempt) action));
        }
        assertEquals("high", admittedAttempts.get(0).requestId());
    }

    /** Regression: requests were admitted in FIFO order, so under overload priority weights had no effect. */
    @Test
    void headroomIsReservedForHighPriority() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings(LOW_PRIORITY, HIGH_PRIORITY), 1).withEndpoints("a", "b");
        List<Integer> admittedIndexes = new ArrayList<>();
        int highPriority = 0;
        for (int i = 0; i < 40; i++) {
            // One high-priority request for three of low priority, so that the mean rank lies between the two.
            boolean isHighPriority = i % 4 == 0;
            boolean admitted = chosenEndpoint(harness.sendRequest("m" + i, isHighPriority ? "high" : "low")) != null;
            if (admitted) {
                admittedIndexes.add(i);
                highPriority += isHighPriority ? 1 : 0;
            }
        }
        assertTrue(highPriority * 3 >= admittedIndexes.size(), highPriority + " high-priority of " + admittedIndexes);
    }

    /**
     * Returns the number of requests admitted at once, after rounds in which all admitted requests had this latency.
     */
    private static int limitAfterRounds(BalancerHarness harness, int rounds, long latency) {
        int limit = 0;
        for (int round = 0; round <= rounds; round++) {
            List<String> admitted = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                String requestId = "t" + round + "." + i;
                if (chosenEndpoint(harness.sendRequest(requestId, "low")) == null) {
                    harness.handle(new ClientDisconnected(requestId));
                    break;
                }
                admitted.add(requestId);
            }
            limit = admitted.size();
            harness.now += latency;
            admitted.forEach(requestId -> harness.endAttempt(requestId, 0, "a", AttemptOutcome.OK, latency));
        }
        return limit;
    }

    /**
     * Regression: the limit stayed at its initial value, and a third of the requests was rejected while endpoints were
     * idle.
     */
    @Test
    void limitGrowsWhileLatencyObjectivesAreMet() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings(LOW_PRIORITY), 1).withEndpoints("a", "b");
        int first = limitAfterRounds(harness, 0, 20 * MS);
        assertTrue(limitAfterRounds(harness, 40, 20 * MS) >= 2 * first);
        harness.withEndpoints("a", "b", "c");
        assertTrue(
                limitAfterRounds(harness, 0, 20 * MS) >= 2 * first,
                "the learned limit is lost when the endpoint list changes");
    }

    @Test
    void limitShrinksWhileLatenciesExceedTheObjective() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings(LOW_PRIORITY), 1).withEndpoints("a", "b");
        int grown = limitAfterRounds(harness, 10, 20 * MS);
        int shrunk = limitAfterRounds(harness, 3, 500 * MS);
        assertTrue(shrunk > 0 && shrunk <= grown / 2, shrunk + " admitted at once, previously " + grown);
    }

    /**
     * Regression: only late responses lowered the limit, but endpoints reject requests as full long before responses
     * are late.
     */
    @Test
    void limitShrinksWhenConsecutiveEndpointsAreFull() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings(LOW_PRIORITY), 1).withEndpoints("a", "b");
        int grown = limitAfterRounds(harness, 10, 20 * MS);
        for (int i = 0; i < grown; i++) {
            String requestId = "full" + i;
            String first = chosenEndpoint(harness.sendRequest(requestId, "low"));
            String second = chosenEndpoint(harness.endAttempt(requestId, 0, first, AttemptOutcome.FULL, MS));
            harness.endAttempt(requestId, 1, second, AttemptOutcome.FULL, MS);
            harness.handle(new ClientDisconnected(requestId));
        }
        int shrunk = limitAfterRounds(harness, 0, 20 * MS);
        assertTrue(shrunk <= grown / 2, shrunk + " admitted at once, previously " + grown);
    }

    @Test
    void tenantOverQuotaIsQueuedBehindOthers() {
        BalancerSettings defaults = BalancerHarness.settings(LOW_PRIORITY);
        BalancerHarness harness = new BalancerHarness(
                        new BalancerSettings(
                                defaults.zone(),
                                defaults.zones(),
                                0,
                                0,
                                2,
                                defaults.classes(),
                                List.of(new Tenant("greedy", 20), new Tenant("modest", 20)),
                                0.1,
                                false,
                                false,
                                WeightKind.NONE,
                                List.of(),
                                0,
                                2 * MS,
                                defaults.limits(),
                                defaults.rules()),
                        1)
                .withEndpoints("a", "b");
        List<String> admitted = fillLimit(harness);
        // This node's half of the quota is 10 requests per second.
        for (int i = 0; i < 11; i++) {
            sendRequest(harness, "g" + i, "greedy");
        }
        sendRequest(harness, "m", "modest");
        List<String> order = new ArrayList<>();
        for (int i = 0; i < admitted.size(); i++) {
            harness.handle(new AttemptEnded(admitted.get(i), 0, "a", AttemptOutcome.OK, 20 * MS, true, null)).stream()
                    .filter(SendAttempt.class::isInstance)
                    .forEach(a -> order.add(((SendAttempt) a).requestId()));
        }
        for (int i = 0; order.size() < 12; i++) {
            String next = order.get(i);
            harness.handle(new AttemptEnded(next, 0, "a", AttemptOutcome.OK, 20 * MS, true, null)).stream()
                    .filter(SendAttempt.class::isInstance)
                    .forEach(a -> order.add(((SendAttempt) a).requestId()));
        }
        assertTrue(order.contains("m") && !order.contains("g10"), "" + order);
    }

    private static void sendRequest(BalancerHarness harness, String requestId, String tenant) {
        harness.handle(
                new RequestArrived(requestId, "low", harness.now + 2 * BalancerHarness.SECOND, tenant, 0, false));
    }
}
