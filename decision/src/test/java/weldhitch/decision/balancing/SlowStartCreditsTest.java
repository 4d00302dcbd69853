package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.PlatformRules;

/** Tests which events grant slow-start credit to which endpoints. */
class SlowStartCreditsTest {
    private static final long NOW = 100 * SECOND;

    private final PlatformRules rules = BalancerHarness.settings(
                    BalancerHarness.requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL))
            .rules();
    private final List<Endpoint> ready = new ArrayList<>();
    private final SlowStartCredits credits = new SlowStartCredits(rules, ready);

    private Endpoint endpoint(String id, long startedAt) {
        Endpoint endpoint = new Endpoint(id, "east", 0, startedAt, new DecayingFailureCount());
        endpoint.state = EndpointState.READY;
        endpoint.weight = 1;
        ready.add(endpoint);
        return endpoint;
    }

    @Test
    void attemptServedByAWarmEndpointEarnsCreditForANewOne() {
        Endpoint warm = endpoint("warm", 0);
        Endpoint fresh = endpoint("fresh", NOW);
        credits.onEndpointsChanged(ready, NOW);
        credits.recordServed(warm, NOW);
        assertEquals(0, warm.slowStartCredit);
        assertEquals(rules.initialCapacity(), fresh.slowStartCredit, 1e-9);
    }

    @Test
    void attemptServedByAnEndpointInSlowStartEarnsNothing() {
        endpoint("warm", 0);
        Endpoint fresh = endpoint("fresh", NOW);
        credits.onEndpointsChanged(ready, NOW);
        credits.recordServed(fresh, NOW);
        assertEquals(0, fresh.slowStartCredit);
        assertEquals(0, credits.servedRate);
    }

    @Test
    void arrivalEarnsCreditOnlyWhereNoEndpointWasEverWarm() {
        Endpoint fresh = endpoint("fresh", NOW);
        credits.onEndpointsChanged(ready, NOW);
        credits.recordArrival(NOW);
        double earned = fresh.slowStartCredit;
        assertTrue(earned > 0);
        credits.servedRate = 1e-9;
        credits.recordArrival(NOW);
        assertEquals(earned, fresh.slowStartCredit);
    }

    @Test
    void slowStartEndsAfterItsWindow() {
        Endpoint fresh = endpoint("fresh", NOW);
        credits.onEndpointsChanged(ready, NOW);
        assertEquals(rules.initialCapacity(), credits.slowStartFactor(fresh, NOW));
        assertFalse(credits.updateWarmingUp(fresh, NOW + rules.slowStartWindow()));
        assertEquals(1, credits.slowStartFactor(fresh, NOW + rules.slowStartWindow()));
    }
}
