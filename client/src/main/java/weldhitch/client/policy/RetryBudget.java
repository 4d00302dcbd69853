package weldhitch.client.policy;

/**
 * Repeats that may still be made: every call adds its share, time adds a floor, every repeat takes one (a token bucket,
 * as Finagle's). Saved up for ten calls' worth of repeats or ten seconds of the floor at most.
 */
final class RetryBudget {
    private static final double SAVED = 10;

    private final double share;
    private final double floorPerNano;
    private final double most;
    private double left;
    private long at;
    private boolean begun;

    RetryBudget(double share, double floorPerSecond) {
        this.share = share;
        this.floorPerNano = floorPerSecond / ClientRules.SECOND;
        this.most = Math.max(1, SAVED * Math.max(share * SAVED, floorPerSecond));
        left = Math.min(most, 1);
    }

    void call(long now) {
        pass(now);
        left = Math.min(most, left + share);
    }

    boolean take(long now) {
        pass(now);
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }

    private void pass(long now) {
        if (begun && now > at) {
            left = Math.min(most, left + (now - at) * floorPerNano);
        }
        at = begun ? Math.max(at, now) : now;
        begun = true;
    }
}
