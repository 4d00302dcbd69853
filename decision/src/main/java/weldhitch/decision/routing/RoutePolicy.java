package weldhitch.decision.routing;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import weldhitch.decision.endpoint.AttemptOutcome;

/**
 * An operator's policy for the requests of one route. It narrows what the platform allows and never widens it.
 * Immutable; durations are in nanoseconds. For a component that is null, or 0 where stated, the default of the platform
 * or the balancer applies.
 *
 * @param deadline the longest time from arrival to the final answer; 0 for the client's own deadline
 * @param attemptTimeout the longest time of one attempt; 0 for the default
 * @param maxAttempts the maximum number of attempts, the first included; 0 for the platform's maximum
 * @param backoff the backoff between attempts, or null
 * @param retryOn outcomes after which a retry is allowed, if the class's idempotency allows it
 * @param retryBudget the retry budget, or null for the balancer's own retry tokens
 * @param hedging when a hedged request is sent for an idempotent request, or null for the balancer's default
 * @param retryAfter bounds of the Retry-After advice of a rejection, or null
 * @param tenantQuotas requests per second by tenant over all nodes; {@code *} stands for all other tenants together
 */
public record RoutePolicy(
        long deadline,
        long attemptTimeout,
        int maxAttempts,
        Backoff backoff,
        Set<AttemptOutcome> retryOn,
        RetryBudgetSettings retryBudget,
        HedgingPolicy hedging,
        RetryAfterBounds retryAfter,
        Map<String, Double> tenantQuotas) {
    /** Outcomes after which an operator may allow retries; the other outcomes are not caused by an endpoint. */
    public static final Set<AttemptOutcome> RETRYABLE = Collections.unmodifiableSet(EnumSet.of(
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.FULL,
            AttemptOutcome.RESET,
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.ERROR));
    /** A policy that restricts nothing. */
    public static final RoutePolicy NONE = new RoutePolicy(0, 0, 0, null, RETRYABLE, null, null, null, Map.of());

    public RoutePolicy {
        // Sorted, because policies are saved and compared: the order must be the same in every run.
        EnumSet<AttemptOutcome> outcomes = EnumSet.noneOf(AttemptOutcome.class);
        outcomes.addAll(retryOn);
        retryOn = Collections.unmodifiableSet(outcomes);
        tenantQuotas = Collections.unmodifiableMap(new TreeMap<>(tenantQuotas));
        if (deadline < 0 || attemptTimeout < 0 || maxAttempts < 0) {
            throw new IllegalArgumentException("expected durations and maxAttempts of 0 or more");
        }
    }

    /**
     * Exponential backoff with full jitter: the backoff before the n-th retry is a random time from 0 to {@code base *
     * 2^(n-1)}, at most {@code max} (Brooker, "Exponential Backoff And Jitter", 2015). Both are in nanoseconds.
     */
    public record Backoff(long base, long max) {
        public Backoff {
            require(base > 0 && max >= base, "base of 1 ns or more, max not below base");
        }

        /** Returns the longest backoff before the given retry, counted from 1. */
        public long ceiling(int retry) {
            return retry > 40 || base > max >> Math.min(retry - 1, 62) ? max : Math.min(max, base << (retry - 1));
        }
    }

    /**
     * A retry budget over any period of ten seconds (after Finagle's RetryBudget). Each route has its own budget.
     *
     * @param retryRatio retries allowed as a fraction of the requests of that period
     * @param minRetriesPerSecond retries per second allowed in addition
     */
    public record RetryBudgetSettings(double retryRatio, double minRetriesPerSecond) {
        public RetryBudgetSettings {
            require(
                    retryRatio >= 0 && retryRatio <= 10 && minRetriesPerSecond >= 0,
                    "retryRatio from 0 to 10, minRetriesPerSecond of 0 or more");
        }
    }

    /** The time of a hedged request: after a fixed delay, at a percentile of the route's latency, or never. */
    public sealed interface HedgingPolicy permits HedgeAfterDelay, HedgeAtPercentile, HedgingDisabled {}

    /** Sends a hedged request after {@code delay} nanoseconds without an answer. */
    public record HedgeAfterDelay(long delay) implements HedgingPolicy {
        public HedgeAfterDelay {
            require(delay > 0, "delay of 1 ns or more");
        }
    }

    /** Sends a hedged request at a percentile, 50 to 99, of the last latencies once there are enough samples. */
    public record HedgeAtPercentile(double percentile) implements HedgingPolicy {
        public HedgeAtPercentile {
            require(percentile >= 50 && percentile <= 99, "percentile from 50 to 99");
        }

        /** Returns the number of samples of which ten are expected to lie beyond the percentile. */
        public int minSamples() {
            return (int) Math.ceil(1000 / (100 - percentile));
        }
    }

    /** Sends no hedged requests. */
    public record HedgingDisabled() implements HedgingPolicy {}

    /** Bounds of Retry-After advice, in nanoseconds. */
    public record RetryAfterBounds(long min, long max) {
        public RetryAfterBounds {
            require(min >= 0 && max >= min, "min of 0 or more, max not below min");
        }

        /** Returns the duration, limited to these bounds. */
        public long clamp(long duration) {
            return Math.max(min, Math.min(max, duration));
        }
    }

    private static void require(boolean valid, String expected) {
        if (!valid) {
            throw new IllegalArgumentException("expected " + Objects.requireNonNull(expected));
        }
    }
}
