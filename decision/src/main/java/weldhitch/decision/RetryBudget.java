package weldhitch.decision;

import weldhitch.decision.RouteRules.Budget;

/**
 * Counts requests and further attempts over the last ten seconds, second by second, and allows a further attempt
 * while all of them stay within the budget. A further attempt is forgotten no sooner than the requests that paid for
 * it, so that over any time further attempts stay under the share of the requests, and the floor.
 */
final class RetryBudget {
    static final int SLICES = 10;
    private static final long SLICE = 1_000_000_000L;

    final Budget budget;
    final int[] requests = new int[SLICES];
    final int[] retries = new int[SLICES];
    long slice = Long.MIN_VALUE;

    RetryBudget(Budget budget) {
        this.budget = budget;
    }

    Budget budget() {
        return budget;
    }

    void request(long now) {
        requests[at(now)]++;
    }

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
