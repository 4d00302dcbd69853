package weldhitch.capture.format;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import java.util.List;
import java.util.Map;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingPolicy;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable.Route;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.LoadReportField;
import weldhitch.decision.settings.PlatformLimits;
import weldhitch.decision.settings.PlatformRules;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.settings.WeightKind;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.AdmissionLimitSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.AttemptSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.ClassLatencySnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.EndpointSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.LatencyPercentileSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.OutstandingAttemptSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.RequestSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.RetryBudgetSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.RouteStateSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.TimerSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.TokenBucketSnapshot;

/**
 * The names under which the components of settings, snapshots and routes are written to the documents of a
 * capture. Captures of other versions contain these names, so they never change, even where a component has another
 * name in the code. They are given by Jackson mix-ins, so that the types themselves do not depend on Jackson.
 * Stateless and thread-safe.
 */
final class DocumentNames {
    private DocumentNames() {}

    /** Registers the recorded names with a mapper builder and returns the builder. */
    static <B extends MapperBuilder<?, B>> B register(B builder) {
        return builder.addMixIn(BalancerSettings.class, BalancerSettingsNames.class)
                .addMixIn(RequestClass.class, RequestClassNames.class)
                .addMixIn(PlatformLimits.class, PlatformLimitsNames.class)
                .addMixIn(PlatformRules.class, PlatformRulesNames.class)
                .addMixIn(BalancerSnapshot.class, BalancerSnapshotNames.class)
                .addMixIn(EndpointSnapshot.class, EndpointSnapshotNames.class)
                .addMixIn(ClassLatencySnapshot.class, ClassLatencySnapshotNames.class)
                .addMixIn(RetryBudgetSnapshot.class, RetryBudgetSnapshotNames.class)
                .addMixIn(TokenBucketSnapshot.class, TokenBucketSnapshotNames.class)
                .addMixIn(LatencyPercentileSnapshot.class, LatencyPercentileSnapshotNames.class)
                .addMixIn(RouteStateSnapshot.class, RouteStateSnapshotNames.class)
                .addMixIn(RequestSnapshot.class, RequestSnapshotNames.class)
                .addMixIn(AttemptSnapshot.class, AttemptSnapshotNames.class)
                .addMixIn(TimerSnapshot.class, TimerSnapshotNames.class)
                .addMixIn(AdmissionLimitSnapshot.class, AdmissionLimitSnapshotNames.class)
                .addMixIn(Route.class, RouteNames.class)
                .addMixIn(RoutePattern.class, RoutePatternNames.class)
                .addMixIn(RoutePolicy.class, RoutePolicyNames.class)
                .addMixIn(RetryBudgetSettings.class, RetryBudgetSettingsNames.class)
                .addMixIn(Idempotency.class, IdempotencyNames.class)
                .addMixIn(WeightKind.class, WeightKindNames.class)
                .addMixIn(LoadReportField.class, LoadReportFieldNames.class)
                .addMixIn(EndpointState.class, EndpointStateNames.class);
    }

    private interface BalancerSettingsNames {
        @JsonProperty("self")
        int nodeIndex();

        @JsonProperty("siblings")
        int nodeCount();

        @JsonProperty("overShareWorth")
        double overQuotaWeight();

        @JsonProperty("worthByWork")
        boolean weightByCost();

        @JsonProperty("mustAskMembership")
        boolean pollsEndpoints();

        @JsonProperty("weights")
        WeightKind weightKind();

        @JsonProperty("loadFields")
        List<LoadReportField> loadReportFields();

        @JsonProperty("crossZonePrice")
        double crossZoneCost();

        @JsonProperty("tick")
        long clockResolution();
    }

    private interface RequestClassNames {
        @JsonProperty("effect")
        Idempotency idempotency();

        @JsonProperty("group")
        DeduplicationScope deduplicationScope();

        @JsonProperty("memory")
        long deduplicationWindow();

        @JsonProperty("aim")
        long latencyObjective();

        @JsonProperty("aimStretch")
        double objectivePerWork();

        @JsonProperty("worth")
        double priorityWeight();

        @JsonProperty("lateWorth")
        double lateWeight();
    }

    private interface PlatformLimitsNames {
        @JsonProperty("secondCopies")
        boolean hedgingAllowed();

        @JsonProperty("cancel")
        boolean cancellationAllowed();

        @JsonProperty("probes")
        boolean healthChecksAllowed();

        @JsonProperty("retryAfter")
        boolean retryAfterAllowed();
    }

    private interface PlatformRulesNames {
        @JsonProperty("startCapacity")
        double initialCapacity();

        @JsonProperty("coldSpan")
        long slowStartWindow();

        @JsonProperty("fallMultiple")
        double overloadMultiple();

        @JsonProperty("fallSpan")
        long overloadWindow();

        @JsonProperty("drainGrace")
        long drainGracePeriod();

        @JsonProperty("answerSlack")
        long answerGracePeriod();

        @JsonProperty("askEvery")
        long maxPollInterval();
    }

    private interface BalancerSnapshotNames {
        @JsonProperty("random")
        byte[] randomState();

        @JsonProperty("servers")
        List<EndpointSnapshot> endpoints();

        @JsonProperty("cold")
        List<Integer> warmingUp();

        @JsonProperty("carried")
        double servedRate();

        @JsonProperty("carriedAt")
        long servedRateAt();

        @JsonProperty("routesInForce")
        List<Integer> activeRoutes();

        @JsonProperty("budgets")
        List<RetryBudgetSnapshot> retryBudgets();

        @JsonProperty("routeQuotas")
        List<TokenBucketSnapshot> routeTokenBuckets();

        @JsonProperty("latencies")
        List<LatencyPercentileSnapshot> latencyPercentiles();

        @JsonProperty("routeUses")
        List<RouteStateSnapshot> routeStates();

        @JsonProperty("armedFor")
        long timerArmedAt();

        @JsonProperty("numbers")
        long nextSequence();

        @JsonProperty("quotas")
        List<TokenBucketSnapshot> tenantQuotas();

        @JsonProperty("usualRank")
        double meanRank();

        @JsonProperty("retriesSaved")
        double retryTokens();

        @JsonProperty("asked")
        boolean subscriptionPending();

        @JsonProperty("refusedAsks")
        int subscriptionRejections();
    }

    private interface EndpointSnapshotNames {
        @JsonProperty("size")
        double weight();

        @JsonProperty("credit")
        double slowStartCredit();

        @JsonProperty("coldListed")
        boolean warmingUp();

        @JsonProperty("errorShare")
        double errorRate();

        @JsonProperty("window")
        double[] latencies();

        @JsonProperty("sum")
        double latencySum();

        @JsonProperty("count")
        int sampleCount();

        @JsonProperty("next")
        int nextSample();

        @JsonProperty("sampledAt")
        long lastSampleAt();

        @JsonProperty("heardAt")
        long lastResponseAt();

        @JsonProperty("out")
        List<OutstandingAttemptSnapshot> outstanding();
    }

    private interface ClassLatencySnapshotNames {
        @JsonProperty("trip")
        double meanLatency();

        @JsonProperty("deviation")
        double latencyDeviation();

        @JsonProperty("cost")
        double meanCost();

        @JsonProperty("seen")
        int sampleCount();
    }

    private interface RetryBudgetSnapshotNames {
        @JsonProperty("rule")
        RetryBudgetSettings settings();

        @JsonProperty("slice")
        long latestSecond();
    }

    private interface TokenBucketSnapshotNames {
        @JsonProperty("left")
        double tokens();

        @JsonProperty("at")
        long refilledAt();

        @JsonProperty("used")
        boolean everUsed();
    }

    private interface LatencyPercentileSnapshotNames {
        @JsonProperty("rule")
        HedgeAtPercentile hedging();

        @JsonProperty("last")
        long[] samples();

        @JsonProperty("seen")
        long sampleCount();
    }

    private interface RouteStateSnapshotNames {
        @JsonProperty("rules")
        RoutePolicy policy();

        @JsonProperty("budget")
        int retryBudget();

        @JsonProperty("quotas")
        List<Integer> tenantBuckets();

        @JsonProperty("latencies")
        int latencyPercentile();
    }

    private interface RequestSnapshotNames {
        @JsonProperty("worth")
        double priorityWeight();

        @JsonProperty("number")
        long sequence();

        @JsonProperty("shortened")
        boolean deadlineShortened();

        @JsonProperty("anchor")
        int firstPossiblyExecuted();

        @JsonProperty("zones")
        List<String> allowedZones();

        @JsonProperty("done")
        boolean finished();

        @JsonProperty("waits")
        boolean queued();

        @JsonProperty("wakeAt")
        long wakeUpAt();
    }

    private interface AttemptSnapshotNames {
        @JsonProperty("server")
        int endpoint();

        @JsonProperty("neverRan")
        boolean notExecuted();

        @JsonProperty("overstayed")
        boolean exceededHedgeDelay();

        @JsonProperty("successorPaid")
        boolean retryTokenReserved();
    }

    private interface TimerSnapshotNames {
        @JsonProperty("at")
        long fireAt();

        @JsonProperty("number")
        long sequence();

        @JsonProperty("spent")
        boolean cancelled();
    }

    private interface AdmissionLimitSnapshotNames {
        @JsonProperty("learning")
        boolean adjusted();

        @JsonProperty("starting")
        boolean inSlowStart();

        @JsonProperty("quickest")
        double lowestLatencyRatio();

        @JsonProperty("slow")
        int slowAnswerExcess();

        @JsonProperty("learnedOver")
        double endpointWeight();
    }

    private interface RouteNames {
        @JsonProperty("rank")
        int precedence();

        @JsonProperty("rules")
        RoutePolicy policy();
    }

    private interface RoutePatternNames {
        @JsonProperty("parts")
        List<String> segments();
    }

    private interface RoutePolicyNames {
        @JsonProperty("attempts")
        int maxAttempts();

        @JsonProperty("budget")
        RetryBudgetSettings retryBudget();

        @JsonProperty("hedge")
        HedgingPolicy hedging();

        @JsonProperty("tenants")
        Map<String, Double> tenantQuotas();
    }

    private interface RetryBudgetSettingsNames {
        @JsonProperty("share")
        double retryRatio();

        @JsonProperty("floor")
        double minRetriesPerSecond();
    }

    private enum IdempotencyNames {
        @JsonProperty("SAFE")
        IDEMPOTENT,
        @JsonProperty("KEYED")
        IDEMPOTENCY_KEY,
        @JsonProperty("UNSAFE")
        NON_IDEMPOTENT
    }

    private enum WeightKindNames {
        @JsonProperty("ROUGH")
        APPROXIMATE
    }

    private enum LoadReportFieldNames {
        @JsonProperty("QUEUE")
        QUEUE_LENGTH,
        @JsonProperty("PER_SECOND")
        THROUGHPUT
    }

    private enum EndpointStateNames {
        @JsonProperty("GONE")
        REMOVED
    }
}
