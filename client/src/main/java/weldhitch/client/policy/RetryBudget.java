package weldhitch.client.policy;

/**
 * A token bucket of retries, as in Finagle: every call adds its share of a token, time adds a minimum rate,
 * every retry takes one token. Holds at most ten times the larger of ten calls' share and one second of the
 * minimum rate, and at least one token. Single-threaded.
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

    /** Earns the share of one call. */
    void call(long now) {
        pass(now);
        left = Math.min(most, left + share);
    }

    /**
     * Takes one token.
     *
     * @return false if there is none
     */
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
