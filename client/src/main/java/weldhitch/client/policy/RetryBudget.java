package weldhitch.client.policy;

/**
 * A token bucket of retries, as in Finagle. Every call adds a fraction of a token, time adds tokens at a minimum rate,
 * and every retry takes one token. The bucket holds at most ten times the larger of the tokens of ten calls and the
 * tokens of one second at the minimum rate, and at least one token. Single-threaded.
 */
final class RetryBudget {
    private static final double BURST_FACTOR = 10;

    private final double retryRatio;
    private final double minRetriesPerNano;
    private final double maxTokens;
    private double tokens;
    private long refilledAt;
    private boolean started;

    RetryBudget(double retryRatio, double minRetriesPerSecond) {
        this.retryRatio = retryRatio;
        this.minRetriesPerNano = minRetriesPerSecond / ClientPolicy.SECOND;
        this.maxTokens = Math.max(1, BURST_FACTOR * Math.max(retryRatio * BURST_FACTOR, minRetriesPerSecond));
        tokens = Math.min(maxTokens, 1);
    }

    /** Adds the tokens that one call earns. */
    void recordCall(long now) {
        refill(now);
        tokens = Math.min(maxTokens, tokens + retryRatio);
    }

    /**
     * Takes one token for a retry.
     *
     * @return false if there is none
     */
    boolean tryRetry(long now) {
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(long now) {
        if (started && now > refilledAt) {
            tokens = Math.min(maxTokens, tokens + (now - refilledAt) * minRetriesPerNano);
        }
        refilledAt = started ? Math.max(refilledAt, now) : now;
        started = true;
    }
}
