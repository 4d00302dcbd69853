package weldhitch.decision.balancing;

import java.util.LinkedHashMap;
import java.util.Map;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingDisabled;

/**
 * The state of one route: its policy, and the retry budget, tenant quotas and latencies that the policy uses. Times are
 * nanoseconds. The budget, quotas and latencies are mutable and owned by the balancer's thread.
 */
final class RouteState {
    /** Backoff that means that the route defines none. */
    static final long NO_BACKOFF = -1;

    final RoutePolicy policy;
    /** Null if the route does not define a retry budget. */
    final RetryBudget retryBudget;

    final Map<String, TokenBucket> tenantBuckets;
    /** Null unless the route hedges at a percentile. */
    final LatencyPercentile latencyPercentile;

    /**
     * Creates the state of a route.
     *
     * @param nodeCount number of nodes that share the tenants' quotas
     * @param predecessor the state of a route of the same name or group, which is shared where the settings are the
     *     same; or null
     */
    RouteState(RoutePolicy policy, int nodeCount, RouteState predecessor) {
        this.policy = policy;
        boolean sameBudget = predecessor != null
                && predecessor.retryBudget != null
                && predecessor.retryBudget.settings().equals(policy.retryBudget());
        retryBudget = policy.retryBudget() == null
                ? null
                : sameBudget ? predecessor.retryBudget : new RetryBudget(policy.retryBudget());
        tenantBuckets = new LinkedHashMap<>();
        policy.tenantQuotas()
                .forEach((tenant, perSecond) -> tenantBuckets.put(
                        tenant,
                        predecessor != null
                                        && perSecond.equals(predecessor
                                                .policy
                                                .tenantQuotas()
                                                .get(tenant))
                                ? predecessor.tenantBuckets.get(tenant)
                                : new TokenBucket(perSecond / nodeCount)));
        if (policy.hedging() instanceof HedgeAtPercentile hedge) {
            latencyPercentile = predecessor != null && hedge.equals(predecessor.policy.hedging())
                    ? predecessor.latencyPercentile
                    : new LatencyPercentile(hedge);
        } else {
            latencyPercentile = null;
        }
    }

    /** Creates the state of a route from a snapshot. */
    RouteState(
            RoutePolicy policy,
            RetryBudget retryBudget,
            Map<String, TokenBucket> tenantBuckets,
            LatencyPercentile latencyPercentile) {
        this.policy = policy;
        this.retryBudget = retryBudget;
        this.tenantBuckets = tenantBuckets;
        this.latencyPercentile = latencyPercentile;
    }

    /** Counts a request that is within its tenant's quota; rejected requests earn no retries. */
    void recordRequest(long now) {
        if (retryBudget != null) {
            retryBudget.recordRequest(now);
        }
    }

    /**
     * Takes a token from the tenant's quota. Returns the quota if it is exhausted; null if it is not, or if there is no
     * quota.
     */
    TokenBucket exhaustedQuota(String tenant, long now) {
        if (tenantBuckets.isEmpty()) {
            return null;
        }
        TokenBucket quota = tenant == null ? null : tenantBuckets.get(tenant);
        quota = quota == null ? tenantBuckets.get("*") : quota;
        return quota == null || quota.tryTake(now) ? null : quota;
    }

    /** Returns the earlier of the requested deadline and that of the route. */
    long deadline(long now, long requested) {
        return policy.deadline() > 0 ? Math.min(requested, now + policy.deadline()) : requested;
    }

    /** Returns the maximum number of attempts of the route, limited to the platform's maximum, {@code allowed}. */
    int maxAttempts(int allowed) {
        return policy.maxAttempts() > 0 ? Math.min(allowed, policy.maxAttempts()) : allowed;
    }

    /**
     * Returns the timeout in nanoseconds of an attempt sent now: the route's timeout, or else {@code defaultTimeout},
     * limited to the time remaining until the deadline. If both are 0, it is the remaining time if the route defines a
     * deadline, otherwise 0 for no timeout.
     */
    long attemptTimeout(long defaultTimeout, long remaining) {
        long timeout = policy.attemptTimeout() > 0 ? policy.attemptTimeout() : defaultTimeout;
        return timeout > 0 ? Math.min(timeout, remaining) : policy.deadline() > 0 ? remaining : 0;
    }

    boolean retriesOn(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.NOT_SENT || policy.retryOn().contains(outcome);
    }

    boolean hasRetryBudget() {
        return retryBudget != null;
    }

    boolean takeRetry(long now) {
        return retryBudget.tryRetry(now);
    }

    /**
     * Returns the backoff before a retry; {@link #NO_BACKOFF} if the route defines none.
     *
     * @param retry number of the retry, from 1
     */
    long backoff(int retry, SeededRandom random) {
        return policy.backoff() == null
                ? NO_BACKOFF
                : (long) (random.nextDouble() * policy.backoff().ceiling(retry));
    }

    /** Returns the hedge delay, which is {@code defaultDelay} if the route does not define one; 0 for never. */
    long hedgeDelay(long defaultDelay) {
        if (policy.hedging() instanceof HedgeAfterDelay afterDelay) {
            return afterDelay.delay();
        }
        if (policy.hedging() instanceof HedgeAtPercentile) {
            return latencyPercentile.percentile();
        }
        return policy.hedging() instanceof HedgingDisabled ? 0 : defaultDelay;
    }

    void recordLatency(long latency) {
        if (latencyPercentile != null) {
            latencyPercentile.add(latency);
        }
    }

    long retryAfter(long defaultRetryAfter) {
        return policy.retryAfter() == null
                ? defaultRetryAfter
                : policy.retryAfter().clamp(defaultRetryAfter);
    }
}
