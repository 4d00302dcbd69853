package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;

/** Tests a route's retry budget and its latency percentile. */
class RetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void retriesStayWithinTheRatioOfTheLastTenSeconds() {
        RetryBudget budget = new RetryBudget(new RetryBudgetSettings(0.2, 0));
        assertFalse(budget.tryRetry(0), "no request was recorded yet");
        for (int i = 0; i < 10; i++) {
            budget.recordRequest(SECOND);
        }
        assertTrue(budget.tryRetry(2 * SECOND));
        assertTrue(budget.tryRetry(10 * SECOND));
        assertFalse(budget.tryRetry(10 * SECOND));
        assertFalse(budget.tryRetry(20 * SECOND), "the requests have left the window");
    }

    @Test
    void minimumRetriesAreAllowedAtLowTraffic() {
        RetryBudget budget = new RetryBudget(new RetryBudgetSettings(0, 0.5));
        int retries = 0;
        for (long now = 0; now < 100 * SECOND; now += SECOND / 10) {
            retries += budget.tryRetry(now) ? 1 : 0;
        }
        assertEquals(50, retries, 5);
    }

    /** The ratio must hold over a complete run, not only within each window of ten seconds. */
    @Test
    void retriesNeverExceedTheRatioOfAllRequests() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RetryBudget budget = new RetryBudget(new RetryBudgetSettings(0.3, 0));
            long now = random.nextLong(SECOND);
            int requests = 0;
            int retries = 0;
            for (int i = 0; i < 2000; i++) {
                now += random.nextInt(20) == 0 ? random.nextLong(15 * SECOND) : random.nextLong(SECOND / 5);
                if (random.nextInt(3) == 0) {
                    budget.recordRequest(now);
                    requests++;
                }
                retries += budget.tryRetry(now) ? 1 : 0;
                assertTrue(retries <= 0.3 * requests, seed + " (seed): " + retries + " retries, requests: " + requests);
            }
            assertTrue(retries > 0.1 * requests, retries + " retries, requests: " + requests);
        }
    }

    @Test
    void percentileIsAvailableOnceTenSamplesExceedIt() {
        LatencyPercentile percentile = new LatencyPercentile(new HedgeAtPercentile(90));
        for (int i = 1; i < 100; i++) {
            percentile.add(i);
            assertEquals(0, percentile.percentile());
        }
        percentile.add(100);
        assertEquals(90, percentile.percentile());
        for (int i = 0; i < 2000; i++) {
            percentile.add(7);
        }
        assertEquals(7, percentile.percentile(), "only the latest samples count");
    }
}
