package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.SECOND;
import static weldhitch.decision.balancing.BalancerHarness.chosenEndpoint;
import static weldhitch.decision.balancing.BalancerHarness.single;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.WeightKind;

/** Tests endpoint updates and the subscription to them. */
class EndpointUpdateTest {
    private static BalancerHarness pollingNode(long seed) {
        BalancerSettings defaults = BalancerHarness.settings(
                BalancerHarness.requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        return new BalancerHarness(
                new BalancerSettings(
                        "east",
                        List.of("east"),
                        0,
                        0,
                        100,
                        defaults.classes(),
                        List.of(),
                        1,
                        false,
                        true,
                        WeightKind.NONE,
                        List.of(),
                        0,
                        2 * MS,
                        defaults.limits(),
                        defaults.rules()),
                seed);
    }

    private static List<BalancerAction> applyCachedList(BalancerHarness harness) {
        return harness.handle(
                new EndpointsChanged(EndpointUpdateKind.CACHED, List.of(harness.entry("a", EndpointState.READY, 0))));
    }

    @Test
    void endpointsSurviveAFailedPoll() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a");
        harness.handle(new EndpointsChanged(EndpointUpdateKind.REJECTED, List.of()));
        assertEquals("a", chosenEndpoint(harness.sendRequest("r", "read")));
    }

    @Test
    void endpointMissingFromFullListIsRemoved() {
        BalancerHarness harness =
                BalancerHarness.withDefaultSettings().withEndpoints("a", "b").withEndpoints("b");
        for (int i = 0; i < 50; i++) {
            assertEquals("b", harness.serveRequest("r" + i, MS));
        }
    }

    @Test
    void endpointReadyAfterDrainingReceivesRequests() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a");
        harness.applyDelta(harness.entry("a", EndpointState.DRAINING, 0));
        harness.applyDelta(harness.entry("a", EndpointState.READY, 0));
        assertEquals("a", chosenEndpoint(harness.sendRequest("r", "read")));
    }

    @Test
    void lateOutcomeOfRemovedEndpointIsIgnored() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        String endpointId = chosenEndpoint(harness.sendRequest("r", "write"));
        harness.withEndpoints(endpointId.equals("a") ? "b" : "a");
        assertFalse(single(harness.endAttempt("r", 0, endpointId, AttemptOutcome.OK, MS), SendAttempt.class)
                .isPresent());
        assertTrue(harness.endAttempt("unknown", 0, "z", AttemptOutcome.OK, MS).isEmpty());
    }

    @Test
    void firstSubscriptionsAreJittered() {
        long first = single(applyCachedList(pollingNode(1)), ScheduleTimer.class)
                .orElseThrow()
                .delay();
        long second = single(applyCachedList(pollingNode(2)), ScheduleTimer.class)
                .orElseThrow()
                .delay();
        assertTrue(first != second);
        assertTrue(Math.max(first, second) < 5 * SECOND, "a first subscription is delayed by 5 s or more");
    }

    @Test
    void rejectedSubscriptionIsRetriedWithBackoff() {
        BalancerHarness harness = pollingNode(3);
        List<BalancerAction> actions = harness.fireTimer(applyCachedList(harness));
        assertTrue(single(actions, SubscribeToEndpoints.class).isPresent());
        long total = 0;
        for (int i = 0; i < 5; i++) {
            actions = harness.handle(new EndpointsChanged(EndpointUpdateKind.REJECTED, List.of()));
            assertFalse(single(actions, SubscribeToEndpoints.class).isPresent());
            long wait = single(actions, ScheduleTimer.class).orElseThrow().delay();
            assertTrue(wait >= SECOND && wait <= 10 * SECOND, "backoff in ns: " + wait);
            total += wait;
            actions = harness.fireTimer(actions);
            assertTrue(single(actions, SubscribeToEndpoints.class).isPresent());
        }
        assertTrue(total > 15 * SECOND, "the backoff does not grow; total in ns: " + total);
    }

    @Test
    void subscribedNodeDoesNotResubscribe() {
        BalancerHarness harness = pollingNode(4);
        harness.fireTimer(applyCachedList(harness));
        assertTrue(
                harness.applyDelta(harness.entry("b", EndpointState.READY, 0)).isEmpty());
        harness.now += 60 * SECOND;
        assertFalse(single(harness.handle(new TimerFired("due")), SubscribeToEndpoints.class)
                .isPresent());
    }
}
