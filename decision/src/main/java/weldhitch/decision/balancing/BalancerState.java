package weldhitch.decision.balancing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.settings.Tenant;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * The complete state of a {@link RatioBalancer} except its settings. {@link SnapshotBuilder} saves and restores it.
 * Mutable; owned by the balancer's thread.
 */
final class BalancerState {
    static final double MAX_RETRY_TOKENS = BalancerSnapshot.MAX_RETRY_TOKENS;

    final BalancerSettings settings;
    final SeededRandom random;
    final EndpointSet endpoints;
    final Map<String, ClassLatencyModel> classModels = new LinkedHashMap<>();
    /**
     * Latency model of requests whose class the settings do not name. These requests may not be idempotent, so they
     * are never repeated.
     */
    final ClassLatencyModel unknownClassModel = new ClassLatencyModel(
            new RequestClass("", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 0, 0, 0, 1, 0, false));

    final Map<String, RequestState> requests = new LinkedHashMap<>();
    /** The admission queue: requests that are not admitted yet. */
    final PriorityQueue<RequestState> admissionQueue = new PriorityQueue<>();

    final TimerQueue timers = new TimerQueue();
    final AdaptiveConcurrencyLimit admissionLimit = new AdaptiveConcurrencyLimit();
    /** This node's part of the tenants' quotas, by tenant name. */
    final Map<String, TokenBucket> tenantQuotas = new LinkedHashMap<>();
    /** The states of the operator's routes. */
    RouteStates routes = RouteStates.NONE;
    /** Exponential moving average of the rank of arriving requests; 0 before the first. */
    double meanRank;
    /** Tokens that pay for further attempts after one that may have been executed. */
    double retryTokens = MAX_RETRY_TOKENS / 2;

    boolean started;
    /** Whether a subscription to endpoint updates was requested and is not answered yet. */
    boolean subscriptionPending;

    boolean subscribed;
    /** Number of subscriptions rejected in a row, at most 6. */
    int subscriptionRejections;
    /** The snapshot begun last; null before the first. It is not itself part of a snapshot. */
    IncrementalSnapshot snapshotInProgress;

    BalancerState(BalancerSettings settings, SeededRandom random) {
        this.settings = java.util.Objects.requireNonNull(settings, "settings");
        this.random = random;
        endpoints = new EndpointSet(settings.rules());
        for (RequestClass requestClass : settings.classes()) {
            classModels.put(requestClass.name(), new ClassLatencyModel(requestClass));
        }
        for (Tenant tenant : settings.tenants()) {
            if (tenant.quotaPerSecond() > 0) {
                tenantQuotas.put(tenant.name(), new TokenBucket(tenant.quotaPerSecond() / settings.nodeCount()));
            }
        }
    }
}
