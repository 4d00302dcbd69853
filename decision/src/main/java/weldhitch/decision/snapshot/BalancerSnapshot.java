package weldhitch.decision.snapshot;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable;

/**
 * The complete state of a {@link RatioBalancer} between two events, as plain data. Each record validates its
 * components: a record with an impossible value cannot be created, and the exception names the field. Times are
 * nanoseconds of the node's own clock. Shared objects are represented by their index in a list; -1 means none.
 * Immutable, provided that the arrays are not changed.
 *
 * <p>State that can be derived again bit for bit is not included: the ready endpoints in ring order (derived from the
 * endpoint list), the admission queue (derived from the flags of the requests), and data that a pick writes before it
 * reads it.
 *
 * @param version the format version, {@link #VERSION}
 * @param randomState the state of the random number generator
 * @param endpoints the endpoints of the list in its order, then those to which only attempts still refer
 * @param warmingUp indexes of the ready endpoints that were in slow start when last checked, in their order
 * @param servedRate served rate: attempts per nanosecond that a warm endpoint serves for this node, 0 if unknown
 * @param classes the classes of the settings in their order, then the one for unknown class names
 * @param routes the routes of the active route table, null if there is none
 * @param activeRoutes for each of {@code routes}, the index of its state in {@code routeStates}
 * @param requests the requests in order of arrival
 * @param tenantQuotas the quotas of those tenants of the settings that have one, in the order of the settings
 * @param meanRank moving average of the rank of arriving requests
 * @param subscriptionPending whether a subscription to endpoint updates was requested and is not answered yet
 * @param subscriptionRejections number of subscriptions rejected in a row, 0 to 6
 */
public record BalancerSnapshot(
        int version,
        byte[] randomState,
        List<ZoneSnapshot> zones,
        List<EndpointSnapshot> endpoints,
        List<Integer> warmingUp,
        double servedRate,
        long servedRateAt,
        List<ClassLatencySnapshot> classes,
        List<RouteTable.Route> routes,
        List<Integer> activeRoutes,
        List<RetryBudgetSnapshot> retryBudgets,
        List<TokenBucketSnapshot> routeTokenBuckets,
        List<LatencyPercentileSnapshot> latencyPercentiles,
        List<RouteStateSnapshot> routeStates,
        List<RequestSnapshot> requests,
        List<TimerSnapshot> timers,
        long timerArmedAt,
        long nextSequence,
        AdmissionLimitSnapshot admission,
        List<TokenBucketSnapshot> tenantQuotas,
        double meanRank,
        double retryTokens,
        boolean started,
        boolean subscriptionPending,
        boolean subscribed,
        int subscriptionRejections) {
    /** The format version that this build reads and writes. */
    public static final int VERSION = 4;

    /** The maximum number of retry tokens of a balancer. */
    public static final double MAX_RETRY_TOKENS = 10;

    public BalancerSnapshot {
        check(version == VERSION, "version", version, "version " + VERSION);
        check(
                randomState != null && randomState.length > 0 && randomState.length <= 64,
                "random",
                randomState,
                "1 to 64 bytes");
        zones = requireNoNulls("zones", zones);
        endpoints = requireNoNulls("servers", endpoints);
        warmingUp = requireNoNulls("cold", warmingUp);
        classes = requireNoNulls("classes", classes);
        routes = routes == null ? null : List.copyOf(routes);
        activeRoutes = requireNoNulls("routesInForce", activeRoutes);
        retryBudgets = requireNoNulls("budgets", retryBudgets);
        routeTokenBuckets = requireNoNulls("routeQuotas", routeTokenBuckets);
        latencyPercentiles = requireNoNulls("latencies", latencyPercentiles);
        routeStates = requireNoNulls("routeUses", routeStates);
        requests = requireNoNulls("requests", requests);
        timers = requireNoNulls("timers", timers);
        tenantQuotas = requireNoNulls("quotas", tenantQuotas);
        check(admission != null, "admission", null, "an admission limit");
        check(nextSequence >= 0, "numbers", nextSequence, "0 or more");
        requireFinite("carried", servedRate, 0);
        requireFinite("usualRank", meanRank, 0);
        requireFinite("retriesSaved", retryTokens, 0);
        check(retryTokens <= MAX_RETRY_TOKENS, "retriesSaved", retryTokens, "at most 10");
        check(
                subscriptionRejections >= 0 && subscriptionRejections <= 6,
                "refusedAsks",
                subscriptionRejections,
                "0 to 6");
    }

    /** The decaying failure count of a zone at the time {@code failedAt}. */
    public record ZoneSnapshot(String name, double failures, long failedAt) {
        public ZoneSnapshot {
            check(name != null, "zone.name", null, "a name");
            requireFinite("zone.failures", failures, 0);
        }
    }

    /**
     * The state of an endpoint.
     *
     * @param zone the index of its zone in {@code zones}
     * @param listed whether it is in the endpoint list
     * @param warmingUp whether it was in slow start when last checked
     * @param latencies the last round trips as multiples of the expected latency
     * @param nextSample the index of the next sample in the window
     * @param outstanding the attempts in flight, oldest first
     */
    public record EndpointSnapshot(
            String id,
            int zone,
            long cell,
            EndpointState state,
            double weight,
            long startedAt,
            boolean listed,
            double slowStartCredit,
            boolean warmingUp,
            double failures,
            long failedAt,
            double errorRate,
            double[] latencies,
            double latencySum,
            int sampleCount,
            int nextSample,
            long lastSampleAt,
            long lastResponseAt,
            List<OutstandingAttemptSnapshot> outstanding) {
        /** Number of round trips in an endpoint's window. */
        public static final int LATENCY_WINDOW = 20;

        public EndpointSnapshot {
            check(id != null, "server.id", null, "an id");
            // A fleet has thousands of endpoints, so an error message is built only if there is an error.
            require(state != null, id, "state", 0, "READY, DRAINING or GONE, not null");
            require(weight > 0 && Double.isFinite(weight), id, "size", weight, "more than 0");
            require(
                    Double.isFinite(slowStartCredit) && slowStartCredit <= 2,
                    id,
                    "credit",
                    slowStartCredit,
                    "at most 2");
            require(failures >= 0 && Double.isFinite(failures), id, "failures", failures, "a finite number from 0");
            require(errorRate >= 0 && errorRate <= 1, id, "errorShare", errorRate, "0 to 1");
            require(
                    latencies != null && latencies.length == LATENCY_WINDOW,
                    id,
                    "window",
                    latencies == null ? 0 : latencies.length,
                    "a window of length " + LATENCY_WINDOW);
            for (double latency : latencies) {
                require(Double.isFinite(latency), id, "window", latency, "a finite number");
            }
            require(Double.isFinite(latencySum), id, "sum", latencySum, "a finite number");
            require(
                    sampleCount >= 0 && sampleCount <= LATENCY_WINDOW,
                    id,
                    "count",
                    sampleCount,
                    "0 to " + LATENCY_WINDOW);
            require(
                    nextSample >= 0 && nextSample < LATENCY_WINDOW,
                    id,
                    "next",
                    nextSample,
                    "0 to " + (LATENCY_WINDOW - 1));
            require(outstanding != null, id, "out", 0, "a list, not null");
            outstanding = List.copyOf(outstanding);
        }

        private static void require(boolean valid, String id, String field, double value, String expected) {
            if (!valid) {
                check(false, "server " + id + ": " + field, value, expected);
            }
        }
    }

    /** An attempt in flight, by the index of its request in {@code requests} and its number within the request. */
    public record OutstandingAttemptSnapshot(int request, int attempt) {}

    /** The latency model of a class. A null {@code name} stands for all classes that the settings do not name. */
    public record ClassLatencySnapshot(
            String name,
            double meanLatency,
            double latencyDeviation,
            double meanCost,
            double costVariance,
            double covariance,
            int sampleCount) {
        public ClassLatencySnapshot {
            String prefix = "class " + name + ": ";
            requireFinite(prefix + "trip", meanLatency, -Double.MAX_VALUE);
            requireFinite(prefix + "deviation", latencyDeviation, -Double.MAX_VALUE);
            requireFinite(prefix + "cost", meanCost, -Double.MAX_VALUE);
            requireFinite(prefix + "costVariance", costVariance, -Double.MAX_VALUE);
            requireFinite(prefix + "covariance", covariance, -Double.MAX_VALUE);
            check(sampleCount >= 0, prefix + "seen", sampleCount, "0 or more");
        }
    }

    /**
     * The requests and retries in each second of a retry budget's window. {@code latestSecond} is the last second
     * counted.
     */
    public record RetryBudgetSnapshot(RetryBudgetSettings settings, int[] requests, int[] retries, long latestSecond) {
        /** Length of a retry budget's window in seconds. */
        public static final int WINDOW_SECONDS = 10;

        public RetryBudgetSnapshot {
            check(settings != null, "budget.rule", null, "the settings of the budget");
            requirePerSecondCounts("budget.requests", requests);
            requirePerSecondCounts("budget.retries", retries);
        }

        private static void requirePerSecondCounts(String field, int[] counts) {
            check(counts != null && counts.length == WINDOW_SECONDS, field, counts, WINDOW_SECONDS + " counts");
            for (int each : counts) {
                check(each >= 0, field, each, "0 or more");
            }
        }
    }

    /** The token bucket of a tenant. {@code everUsed} is whether a token was ever requested. */
    public record TokenBucketSnapshot(
            String tenant, double perSecond, double tokens, long refilledAt, boolean everUsed) {
        public TokenBucketSnapshot {
            check(tenant != null, "quota.tenant", null, "a name");
            check(
                    perSecond > 0 && Double.isFinite(perSecond),
                    "quota " + tenant + ": perSecond",
                    perSecond,
                    "more than 0");
            requireFinite("quota " + tenant + ": left", tokens, 0);
        }
    }

    /** The latency percentile of a route. {@code samples} are the last latencies, or null before the first. */
    public record LatencyPercentileSnapshot(
            HedgeAtPercentile hedging, long[] samples, long sampleCount, long percentile) {
        /** Number of latencies over which a percentile is computed. */
        public static final int WINDOW = 1024;

        public LatencyPercentileSnapshot {
            check(hedging != null, "latencies.rule", null, "a hedging policy");
            check(
                    samples == null ? sampleCount == 0 : samples.length == WINDOW,
                    "latencies.last",
                    samples,
                    WINDOW + " samples, or null if none was seen");
            check(
                    sampleCount >= 0 && percentile >= 0,
                    "latencies.seen",
                    sampleCount,
                    "0 or more, and a percentile of 0 or more");
        }
    }

    /** The state of a route: its policy, and the indexes of its retry budget, tenant quotas and latency percentile. */
    public record RouteStateSnapshot(
            RoutePolicy policy, int retryBudget, List<Integer> tenantBuckets, int latencyPercentile) {
        public RouteStateSnapshot {
            check(policy != null, "routeUse.rules", null, "a policy");
            tenantBuckets = requireNoNulls("routeUse.quotas", tenantBuckets);
        }
    }

    /**
     * The state of a request.
     *
     * @param requestClass the name of its class, null for a class that the settings do not name
     * @param route the index of the state of its route, -1 for none
     * @param deadlineShortened whether its route has shortened its deadline
     * @param firstPossiblyExecuted the number of the first attempt that may have been executed, -1 for none
     * @param allowedZones the zones that may serve it, sorted; null for any
     */
    public record RequestSnapshot(
            String id,
            String requestClass,
            int route,
            double priorityWeight,
            double rank,
            long sequence,
            long arrivedAt,
            long deadline,
            boolean deadlineShortened,
            double cost,
            List<AttemptSnapshot> attempts,
            int firstPossiblyExecuted,
            List<String> allowedZones,
            boolean finished,
            boolean queued,
            boolean admitted,
            long wakeUpAt) {
        public RequestSnapshot {
            check(id != null, "request.id", null, "an id");
            String prefix = "request " + id + ": ";
            requireFinite(prefix + "worth", priorityWeight, 0);
            requireFinite(prefix + "rank", rank, 0);
            check(Double.isFinite(cost), prefix + "cost", cost, "a finite number");
            attempts = requireNoNulls(prefix + "attempts", attempts);
            allowedZones = allowedZones == null ? null : requireNoNulls(prefix + "zones", allowedZones);
            check(
                    allowedZones == null
                            || allowedZones.size() == Set.copyOf(allowedZones).size(),
                    prefix + "zones",
                    allowedZones,
                    "each zone once");
            check(
                    firstPossiblyExecuted >= -1 && firstPossiblyExecuted < attempts.size(),
                    prefix + "anchor",
                    firstPossiblyExecuted,
                    "-1 or the number of an attempt");
        }
    }

    /** The state of an attempt. {@code endpoint} is the index of its endpoint in {@code endpoints}. */
    public record AttemptSnapshot(
            int endpoint,
            long sentAt,
            boolean ended,
            boolean notExecuted,
            boolean exceededHedgeDelay,
            boolean streaming,
            boolean retryTokenReserved) {}

    /**
     * A timer of the balancer.
     *
     * @param request the index in {@code requests}, -1 for the subscription to endpoint updates
     * @param cancelled whether it fires without effect
     */
    public record TimerSnapshot(long fireAt, long sequence, int request, boolean cancelled) {}

    /** The state of the admission limit. */
    public record AdmissionLimitSnapshot(
            double limit,
            int admitted,
            boolean adjusted,
            boolean inSlowStart,
            double lowestLatencyRatio,
            int slowAnswerExcess,
            double endpointWeight) {
        public AdmissionLimitSnapshot {
            check(limit >= 1 && Double.isFinite(limit), "admission.limit", limit, "1 or more");
            check(admitted >= 0, "admission.admitted", admitted, "0 or more");
            check(lowestLatencyRatio >= 0, "admission.quickest", lowestLatencyRatio, "0 or more");
            check(slowAnswerExcess >= 0, "admission.slow", slowAnswerExcess, "0 or more");
            check(
                    endpointWeight > 0 && Double.isFinite(endpointWeight),
                    "admission.learnedOver",
                    endpointWeight,
                    "more than 0");
        }
    }

    /** Throws an {@link IllegalArgumentException} that names the field, unless the value is valid. */
    public static void check(boolean valid, String field, Object value, String expected) {
        if (!valid) {
            throw new IllegalArgumentException("snapshot: " + field + ": " + value + ", expected " + expected);
        }
    }

    private static void requireFinite(String field, double value, double min) {
        check(value >= min && Double.isFinite(value), field, value, "a finite number" + (min == 0 ? " from 0" : ""));
    }

    private static <T> List<T> requireNoNulls(String field, List<T> list) {
        check(
                list != null && list.stream().allMatch(Objects::nonNull),
                field,
                list == null ? null : "a list with null elements",
                "a list without null elements");
        return List.copyOf(list);
    }
}
