package weldhitch.decision.balancing;

import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * The retry budget of a route. Counts requests and retries (including hedged requests) over the last ten seconds in
 * one-second slices, and allows a retry if the total of retries stays within the budget. A retry leaves the window no
 * sooner than the requests that earned it. Therefore, over any period, retries stay below their ratio to requests plus
 * the minimum rate. Not thread-safe; owned by the balancer's thread.
 */
final class RetryBudget {
    static final int WINDOW_SECONDS = BalancerSnapshot.RetryBudgetSnapshot.WINDOW_SECONDS;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    final RetryBudgetSettings settings;
    final int[] requests = new int[WINDOW_SECONDS];
    final int[] retries = new int[WINDOW_SECONDS];
    /** The latest second counted, on the caller's clock. */
    long latestSecond = Long.MIN_VALUE;

    RetryBudget(RetryBudgetSettings settings) {
        this.settings = settings;
    }

    RetryBudgetSettings settings() {
        return settings;
    }

    /** Counts a request, which earns a fraction of a retry. */
    void recordRequest(long now) {
        requests[advanceTo(now)]++;
    }

    /** Counts a retry if the budget allows it, and returns whether it does. */
    boolean tryRetry(long now) {
        int index = advanceTo(now);
        int totalRequests = 0;
        int totalRetries = 0;
        for (int i = 0; i < WINDOW_SECONDS; i++) {
            totalRequests += requests[i];
            totalRetries += retries[i];
        }
        if (totalRetries + 1
                > settings.retryRatio() * totalRequests + settings.minRetriesPerSecond() * WINDOW_SECONDS) {
            return false;
        }
        retries[index]++;
        return true;
    }

    /** Drops the seconds that have left the window, and returns the index of the current one. */
    private int advanceTo(long now) {
        long second = Math.floorDiv(now, NANOS_PER_SECOND);
        long elapsed = latestSecond == Long.MIN_VALUE ? 0 : Math.min(WINDOW_SECONDS, second - latestSecond);
        for (long i = 1; i <= elapsed; i++) {
            int expired = (int) Math.floorMod(latestSecond + i, (long) WINDOW_SECONDS);
            requests[expired] = 0;
            retries[expired] = 0;
        }
        latestSecond = Math.max(latestSecond, second);
        return (int) Math.floorMod(latestSecond, (long) WINDOW_SECONDS);
    }
}
