package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import weldhitch.decision.RouteRules.Budget;
import weldhitch.decision.RouteRules.HedgePercentile;

/** Tests a route's retry budget and its latency percentile. */
class RetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void allowsItsShareOfTheLastTenSeconds() {
        RetryBudget budget = new RetryBudget(new Budget(0.2, 0));
        assertFalse(budget.take(0), "nothing was asked yet");
        for (int i = 0; i < 10; i++) {
            budget.request(SECOND);
        }
        assertTrue(budget.take(2 * SECOND));
        assertTrue(budget.take(10 * SECOND));
        assertFalse(budget.take(10 * SECOND));
        assertFalse(budget.take(20 * SECOND), "what was asked is forgotten");
    }

    @Test
    void allowsItsFloorWhereLittleIsAsked() {
        RetryBudget budget = new RetryBudget(new Budget(0, 0.5));
        int taken = 0;
        for (long now = 0; now < 100 * SECOND; now += SECOND / 10) {
            taken += budget.take(now) ? 1 : 0;
        }
        assertEquals(50, taken, 5);
    }

    /** The ratio holds over a complete run, not only over ten seconds of it. */
    @Test
    void neverAllowsMoreThanItsShareOfAllThatWasAsked() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RetryBudget budget = new RetryBudget(new Budget(0.3, 0));
            long now = random.nextLong(SECOND);
            int asked = 0;
            int taken = 0;
            for (int i = 0; i < 2000; i++) {
                now += random.nextInt(20) == 0 ? random.nextLong(15 * SECOND) : random.nextLong(SECOND / 5);
                if (random.nextInt(3) == 0) {
                    budget.request(now);
                    asked++;
                }
                taken += budget.take(now) ? 1 : 0;
                assertTrue(taken <= 0.3 * asked, seed + ": " + taken + " of " + asked);
            }
            assertTrue(taken > 0.1 * asked, taken + " of " + asked);
        }
    }

    @Test
    void aPercentileIsKnownOnceTenAnswersLieBeyondIt() {
        Latencies latencies = new Latencies(new HedgePercentile(90));
        for (int i = 1; i < 100; i++) {
            latencies.add(i);
            assertEquals(0, latencies.percentile());
        }
        latencies.add(100);
        assertEquals(90, latencies.percentile());
        for (int i = 0; i < 2000; i++) {
            latencies.add(7);
        }
        assertEquals(7, latencies.percentile(), "the last answers alone");
    }
}
