package weldhitch.decision;

import weldhitch.decision.RouteRules.Budget;

/**
 * A route's retry budget: counts requests and retries (hedged requests included) over the last ten seconds in
 * one-second slices, and allows a retry while the total stays within the budget. A retry leaves the window no
 * sooner than the requests that earned it, so that over any period retries stay below their ratio to requests
 * plus the minimum rate. Not thread-safe; owned by the balancer's thread.
 */
final class RetryBudget {
    static final int SLICES = Snapshot.OfBudget.WINDOW_SECONDS;
    private static final long SLICE = 1_000_000_000L;

    final Budget budget;
    final int[] requests = new int[SLICES];
    final int[] retries = new int[SLICES];
    /** The latest second counted, by the caller's clock. */
    long slice = Long.MIN_VALUE;

    RetryBudget(Budget budget) {
        this.budget = budget;
    }

    Budget budget() {
        return budget;
    }

    /** Counts a request, which earns a part of a retry. */
    void request(long now) {
        requests[at(now)]++;
    }

    /** Counts a retry and returns true if the budget allows it. */
    boolean take(long now) {
        int here = at(now);
        int asked = 0;
        int taken = 0;
        for (int i = 0; i < SLICES; i++) {
            asked += requests[i];
            taken += retries[i];
        }
        if (taken + 1 > budget.share() * asked + budget.floor() * SLICES) {
            return false;
        }
        retries[here]++;
        return true;
    }

    /** Drops the seconds that have left the window and returns the index of the present one. */
    private int at(long now) {
        long current = Math.floorDiv(now, SLICE);
        long passed = slice == Long.MIN_VALUE ? 0 : Math.min(SLICES, current - slice);
        for (long i = 1; i <= passed; i++) {
            int old = (int) Math.floorMod(slice + i, (long) SLICES);
            requests[old] = 0;
            retries[old] = 0;
        }
        slice = Math.max(slice, current);
        return (int) Math.floorMod(slice, (long) SLICES);
    }
}
