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

/** Tests slow start with one balancer: credit, growing capacity and served rate if some or all endpoints are new. */
class SlowStartTest {
    /** Returns the number of attempts sent to endpoints in slow start at this rate; each attempt takes 50 ms. */
    private static int attemptsToWarmingUp(BalancerHarness harness, int perSecond, double seconds) {
        int attempts = 0;
        for (int i = 0; i < perSecond * seconds; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("r" + i, "read"));
            harness.now += SECOND / perSecond;
            attempts += endpointId != null && endpointId.startsWith("c") ? 1 : 0;
            if (endpointId != null) {
                harness.endAttempt("r" + i, 0, endpointId, AttemptOutcome.OK, 50 * MS);
            }
        }
        return attempts;
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
        // 100 requests per second on 10 endpoints: a warm one serves 10 per second, a new one a fifth of that.
        int attempts = attemptsToWarmingUp(harness(9, 1), 100, 2);
        assertTrue(attempts > 0 && attempts <= 8, attempts + " attempts in the first 2 s");
    }

    @Test
    void slowStartLimitHoldsWhenHalfOfTheEndpointsRestart() {
        int attempts = attemptsToWarmingUp(harness(5, 5), 100, 1);
        assertTrue(attempts <= 5 * 7, attempts + " attempts in the first second");
    }

    @Test
    void slowStartLimitHoldsWhenAllEndpointsWarmUp() {
        int attempts = attemptsToWarmingUp(harness(0, 10), 100, 1);
        assertTrue(attempts > 0 && attempts <= 40, attempts + " attempts in the first second");
    }

    private static void replaceAllByWarmingUp(BalancerHarness harness, int endpointCount) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            entries.add(harness.entry("c" + i, EndpointState.READY, harness.now));
        }
        harness.handle(new EndpointsChanged(EndpointUpdateKind.FULL, entries));
    }

    /** Returns the fraction of requests at this rate that endpoints in slow start serve, each in 50 ms. */
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
     * If all endpoints are replaced, clients whose requests fail send fewer of them. The credit of the new endpoints
     * must not fall with the request rate; otherwise a fleet with little load rejects nearly every request until the
     * first endpoint is warm.
     */
    @Test
    void warmingUpEndpointsServeLowTraffic() {
        BalancerHarness harness = harness(10, 0);
        attemptsToWarmingUp(harness, 100, 10);
        replaceAllByWarmingUp(harness, 10);
        assertTrue(fractionServedByWarmingUp(harness, "few", 20, 2) > 0.9);
    }

    /** A long idle period must not be taken for a lack of capacity. */
    @Test
    void servedRateSurvivesAnIdlePeriod() {
        BalancerHarness harness = harness(10, 0);
        attemptsToWarmingUp(harness, 100, 10);
        harness.now += 3600 * SECOND;
        attemptsToWarmingUp(harness, 100, 0.1);
        replaceAllByWarmingUp(harness, 10);
        assertTrue(fractionServedByWarmingUp(harness, "few", 20, 2) > 0.9);
    }

    /** The upper bound is the overload multiple of the present capacity, if the warm endpoints were fully used. */
    @Test
    void warmingUpEndpointsAloneStayWithinTheOverloadMultiple() {
        BalancerHarness harness = harness(10, 0);
        attemptsToWarmingUp(harness, 100, 10);
        replaceAllByWarmingUp(harness, 10);
        int attempts = attemptsToWarmingUp(harness, 1000, 3);
        // The overload multiple of 3, times ten endpoints that served 10 requests per second each, over three seconds
        // at 0.2 to 0.44 of that, 0.32 on average.
        double allowed = 3 * 10 * 10 * 3 * 0.32;
        assertTrue(attempts <= allowed, attempts + " attempts in 3 s, at most " + allowed + " allowed");
    }

    @Test
    void firstAttemptsToWarmingUpEndpointAreSpread() {
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
        assertTrue(first < 25, first + " of 100 nodes sent their first attempt at once");
    }
}
