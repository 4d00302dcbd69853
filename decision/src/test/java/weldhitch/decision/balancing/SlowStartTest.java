package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.SECOND;
import static weldhitch.decision.balancing.BalancerHarness.chosenEndpoint;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;

/** Tests slow start with one balancer: credit, ramp and the served rate when some or all endpoints are new. */
class SlowStartTest {
    /** Returns the calls to endpoints in slow start at this rate over the time; each call takes 50 ms. */
    private static int callsToWarmingUp(BalancerHarness harness, int perSecond, double seconds) {
        int calls = 0;
        for (int i = 0; i < perSecond * seconds; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("r" + i, "read"));
            harness.now += SECOND / perSecond;
            calls += endpointId != null && endpointId.startsWith("c") ? 1 : 0;
            if (endpointId != null) {
                harness.endAttempt("r" + i, 0, endpointId, AttemptOutcome.OK, 50 * MS);
            }
        }
        return calls;
    }

    private static BalancerHarness harness(int warmCount, int warmingUpCount) {
        BalancerHarness harness = BalancerHarness.withDefaultSettings();
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < warmCount; i++) {
            entries.add(harness.entry("w" + i, EndpointState.READY, 0));
        }
        for (int i = 0; i < warmingUpCount; i++) {
            entries.add(harness.entry("c" + i, EndpointState.READY, harness.now));
        }
        harness.handle(new EndpointsChanged(EndpointUpdateKind.CACHED, entries));
        return harness;
    }

    @Test
    void warmingUpEndpointGetsNoMoreThanItsCurrentCapacity() {
        // 100 calls per second on 10 endpoints: a warm one serves 10 per second, a new one can do a fifth of
        // that.
        int calls = callsToWarmingUp(harness(9, 1), 100, 2);
        assertTrue(calls > 0 && calls <= 8, calls + " calls in the first 2 s");
    }

    @Test
    void slowStartLimitHoldsWhenHalfOfTheEndpointsRestart() {
        int calls = callsToWarmingUp(harness(5, 5), 100, 1);
        assertTrue(calls <= 5 * 7, calls + " calls in the first second");
    }

    @Test
    void slowStartLimitHoldsWhenAllEndpointsWarmUp() {
        int calls = callsToWarmingUp(harness(0, 10), 100, 1);
        assertTrue(calls > 0 && calls <= 40, calls + " calls in the first second");
    }

    private static void replaceAllByWarmingUp(BalancerHarness harness, int endpointCount) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            entries.add(harness.entry("c" + i, EndpointState.READY, harness.now));
        }
        harness.handle(new EndpointsChanged(EndpointUpdateKind.FULL, entries));
    }

    /** Returns the fraction served at this rate by endpoints in slow start that answer in 50 ms. */
    private static double fractionServedByWarmingUp(
            BalancerHarness harness, String name, int perSecond, double seconds) {
        int requests = (int) (perSecond * seconds);
        int served = 0;
        for (int i = 0; i < requests; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest(name + i, "read"));
            harness.now += SECOND / perSecond;
            if (endpointId != null) {
                served++;
                harness.endAttempt(name + i, 0, endpointId, AttemptOutcome.OK, 50 * MS);
            }
        }
        return (double) served / requests;
    }

    /**
     * If all endpoints are replaced, clients that fail send fewer requests. The credit of the new endpoints
     * must not fall with the request rate, or an idle fleet rejects nearly everything until the first endpoint
     * is warm.
     */
    @Test
    void warmingUpEndpointsServeLowTraffic() {
        BalancerHarness harness = harness(10, 0);
        callsToWarmingUp(harness, 100, 10);
        replaceAllByWarmingUp(harness, 10);
        assertTrue(fractionServedByWarmingUp(harness, "few", 20, 2) > 0.9);
    }

    /** An idle night before does not count as endpoints without capacity. */
    @Test
    void servedRateSurvivesAnIdlePeriod() {
        BalancerHarness harness = harness(10, 0);
        callsToWarmingUp(harness, 100, 10);
        harness.now += 3600 * SECOND;
        callsToWarmingUp(harness, 100, 0.1);
        replaceAllByWarmingUp(harness, 10);
        assertTrue(fractionServedByWarmingUp(harness, "few", 20, 2) > 0.9);
    }

    /** The rule's upper bound: the multiple of the present capacity, if warm endpoints were fully used. */
    @Test
    void warmingUpEndpointsAloneStayWithinTheOverloadMultiple() {
        BalancerHarness harness = harness(10, 0);
        callsToWarmingUp(harness, 100, 10);
        replaceAllByWarmingUp(harness, 10);
        int calls = callsToWarmingUp(harness, 1000, 3);
        // Ten endpoints that served 10 calls per second each, over three seconds at 0.2 to 0.44 of that.
        double allowed = 3 * 10 * 10 * 3 * 0.32;
        assertTrue(calls <= allowed, calls + " calls in 3 s, " + allowed + " allowed");
    }

    @Test
    void firstCallsToWarmingUpEndpointAreSpread() {
        int first = 0;
        for (int seed = 0; seed < 100; seed++) {
            BalancerHarness harness = new BalancerHarness(
                    BalancerHarness.settings(
                            BalancerHarness.requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                    seed);
            harness.handle(new EndpointsChanged(
                    EndpointUpdateKind.CACHED, List.of(harness.entry("c", EndpointState.READY, harness.now))));
            first += chosenEndpoint(harness.sendRequest("r", "read")) == null ? 0 : 1;
        }
        assertTrue(first < 25, first + " of 100 nodes sent at once");
    }
}
