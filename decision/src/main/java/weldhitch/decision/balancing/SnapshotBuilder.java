package weldhitch.decision.balancing;

import static weldhitch.decision.snapshot.BalancerSnapshot.check;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
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
import weldhitch.decision.snapshot.BalancerSnapshot.ZoneSnapshot;

/**
 * Converts a {@link BalancerState} to a {@link BalancerSnapshot} and back. Objects that are shared by reference are
 * also shared after restoring. Called by {@link RatioBalancer} on its thread; stateless.
 */
final class SnapshotBuilder {
    private SnapshotBuilder() {}

    /** Assigns each object, compared by identity, an index at its first use. */
    private static final class IndexedReferences<T> {
        final Map<T, Integer> indexByElement = new IdentityHashMap<>();
        final List<T> elements = new ArrayList<>();

        int indexOf(T element) {
            if (element == null) {
                return -1;
            }
            Integer index = indexByElement.putIfAbsent(element, elements.size());
            if (index == null) {
                elements.add(element);
                return elements.size() - 1;
            }
            return index;
        }

        <S> List<S> map(Function<T, S> mapping) {
            List<S> mapped = new ArrayList<>(elements.size());
            for (T element : elements) {
                mapped.add(mapping.apply(element));
            }
            return mapped;
        }
    }

    /** Saves all state except the endpoints, which the returned snapshot saves one by one. */
    static IncrementalSnapshot begin(BalancerState state) {
        IncrementalSnapshot snapshot = new IncrementalSnapshot();
        IndexedReferences<RequestState> requests = new IndexedReferences<>();
        IndexedReferences<RouteState> routeStates = new IndexedReferences<>();
        IndexedReferences<RetryBudget> budgets = new IndexedReferences<>();
        IndexedReferences<TokenBucket> routeTokenBuckets = new IndexedReferences<>();
        IndexedReferences<LatencyPercentile> latencies = new IndexedReferences<>();
        IndexedReferences<DecayingFailureCount> zoneReferences = new IndexedReferences<>();
        List<ZoneSnapshot> zoneSnapshots = new ArrayList<>();
        state.endpoints.failuresByZone.forEach((name, failures) -> {
            zoneReferences.indexOf(failures);
            zoneSnapshots.add(new ZoneSnapshot(name, failures.count, failures.updatedAt));
        });
        state.endpoints.byId.values().forEach(snapshot::indexOf);
        snapshot.markListComplete();
        state.requests.values().forEach(requests::indexOf);
        List<Integer> activeRouteStates = new ArrayList<>();
        RouteTable activeRoutes = state.routes.routes();
        if (activeRoutes != null) {
            activeRoutes
                    .routes()
                    .forEach(route -> activeRouteStates.add(routeStates.indexOf(state.routes.forRoute(route.name()))));
        }
        List<RequestSnapshot> requestSnapshots =
                requests.map(request -> saveRequest(request, snapshot, routeStates, state.unknownClassModel));
        Map<TokenBucket, String> tenantByBucket = new IdentityHashMap<>();
        List<RouteStateSnapshot> routeStateSnapshots = routeStates.map(source -> {
            List<Integer> bucketIndexes = new ArrayList<>();
            source.tenantBuckets.forEach((tenant, quota) -> {
                tenantByBucket.put(quota, tenant);
                bucketIndexes.add(routeTokenBuckets.indexOf(quota));
            });
            return new RouteStateSnapshot(
                    source.policy,
                    budgets.indexOf(source.retryBudget),
                    bucketIndexes,
                    latencies.indexOf(source.latencyPercentile));
        });
        List<TimerSnapshot> timers = state.timers.queue.stream()
                .sorted()
                .map(timer -> timer.request() == null || timer.cancelled() || timer.request().finished
                        ? new TimerSnapshot(
                                timer.fireAt(), timer.sequence(), -1, timer.cancelled() || timer.request() != null)
                        : new TimerSnapshot(timer.fireAt(), timer.sequence(), requests.indexOf(timer.request()), false))
                .toList();
        List<ClassLatencySnapshot> classes = new ArrayList<>();
        state.classModels.values().forEach(source -> classes.add(saveClassModel(source.requestClass.name(), source)));
        classes.add(saveClassModel(null, state.unknownClassModel));
        List<TokenBucketSnapshot> tenantQuotas = new ArrayList<>();
        state.tenantQuotas.forEach((tenant, quota) -> tenantQuotas.add(saveTokenBucket(tenant, quota)));
        AdaptiveConcurrencyLimit admissionLimit = state.admissionLimit;
        List<Integer> warmingUp = state.endpoints.slowStart.warmingUp.stream()
                .map(snapshot::indexOf)
                .toList();
        List<RouteTable.Route> routes = activeRoutes == null ? null : activeRoutes.routes();
        List<RetryBudgetSnapshot> retryBudgetSnapshots = budgets.map(budget -> new RetryBudgetSnapshot(
                budget.settings, budget.requests.clone(), budget.retries.clone(), budget.latestSecond));
        List<TokenBucketSnapshot> bucketSnapshots =
                routeTokenBuckets.map(bucket -> saveTokenBucket(tenantByBucket.get(bucket), bucket));
        List<LatencyPercentileSnapshot> latencySnapshots = latencies.map(latency -> new LatencyPercentileSnapshot(
                latency.hedging,
                latency.samples == null ? null : latency.samples.clone(),
                latency.sampleCount,
                latency.percentile));
        AdmissionLimitSnapshot admission = new AdmissionLimitSnapshot(
                admissionLimit.limit,
                admissionLimit.admitted,
                admissionLimit.adjusted,
                admissionLimit.inSlowStart,
                admissionLimit.lowestLatencyRatio,
                admissionLimit.slowAnswerExcess,
                admissionLimit.endpointWeight);
        byte[] randomState = state.random.save();
        double servedRate = state.endpoints.slowStart.servedRate;
        long servedRateAt = state.endpoints.slowStart.servedRateAt;
        long timerArmedAt = state.timers.armedAt;
        long nextSequence = state.timers.nextSequence;
        double meanRank = state.meanRank;
        double retryTokens = state.retryTokens;
        boolean started = state.started;
        boolean subscriptionPending = state.subscriptionPending;
        boolean subscribed = state.subscribed;
        int subscriptionRejections = state.subscriptionRejections;
        snapshot.start(
                (endpoint, listed) -> saveEndpoint(endpoint, listed, zoneReferences, requests),
                endpoints -> new BalancerSnapshot(
                        BalancerSnapshot.VERSION,
                        randomState,
                        zoneSnapshots,
                        endpoints,
                        warmingUp,
                        servedRate,
                        servedRateAt,
                        classes,
                        routes,
                        activeRouteStates,
                        retryBudgetSnapshots,
                        bucketSnapshots,
                        latencySnapshots,
                        routeStateSnapshots,
                        requestSnapshots,
                        timers,
                        timerArmedAt,
                        nextSequence,
                        admission,
                        tenantQuotas,
                        meanRank,
                        retryTokens,
                        started,
                        subscriptionPending,
                        subscribed,
                        subscriptionRejections));
        return snapshot;
    }

    private static RequestSnapshot saveRequest(
            RequestState request,
            IncrementalSnapshot endpoints,
            IndexedReferences<RouteState> routeStates,
            ClassLatencyModel unknownClass) {
        List<AttemptSnapshot> attempts = new ArrayList<>(request.attempts.size());
        for (AttemptState attempt : request.attempts) {
            attempts.add(new AttemptSnapshot(
                    endpoints.indexOf(attempt.endpoint),
                    attempt.sentAt,
                    attempt.ended,
                    attempt.notExecuted,
                    attempt.exceededHedgeDelay,
                    attempt.streaming,
                    attempt.retryTokenReserved));
        }
        return new RequestSnapshot(
                request.id,
                request.classModel == unknownClass ? null : request.classModel.requestClass.name(),
                routeStates.indexOf(request.route),
                request.priorityWeight,
                request.rank,
                request.sequence,
                request.arrivedAt,
                request.deadline,
                request.deadlineShortened,
                request.cost,
                attempts,
                request.firstPossiblyExecuted == null ? -1 : request.firstPossiblyExecuted.number,
                request.allowedZones == null
                        ? null
                        : request.allowedZones.stream().sorted().toList(),
                request.finished,
                request.queued,
                request.admitted,
                request.wakeUpAt);
    }

    private static EndpointSnapshot saveEndpoint(
            Endpoint endpoint,
            boolean listed,
            IndexedReferences<DecayingFailureCount> zones,
            IndexedReferences<RequestState> requests) {
        List<OutstandingAttemptSnapshot> outstanding = new ArrayList<>(endpoint.outstanding.size());
        for (AttemptState attempt : endpoint.outstanding) {
            outstanding.add(new OutstandingAttemptSnapshot(requests.indexOf(attempt.request), attempt.number));
        }
        return new EndpointSnapshot(
                endpoint.id,
                zones.indexOf(endpoint.zoneFailures),
                endpoint.cell,
                endpoint.state,
                endpoint.weight,
                endpoint.startedAt,
                listed,
                endpoint.slowStartCredit,
                endpoint.warmingUp,
                endpoint.failures.count,
                endpoint.failures.updatedAt,
                endpoint.errorRate,
                endpoint.latencies.clone(),
                endpoint.latencySum,
                endpoint.sampleCount,
                endpoint.nextSample,
                endpoint.lastSampleAt,
                endpoint.lastResponseAt,
                outstanding);
    }

    private static ClassLatencySnapshot saveClassModel(String name, ClassLatencyModel model) {
        return new ClassLatencySnapshot(
                name,
                model.meanLatency,
                model.latencyDeviation,
                model.meanCost,
                model.costVariance,
                model.covariance,
                model.sampleCount);
    }

    private static TokenBucketSnapshot saveTokenBucket(String tenant, TokenBucket quota) {
        return new TokenBucketSnapshot(tenant, quota.perSecond, quota.tokens, quota.refilledAt, quota.everUsed);
    }

    /**
     * Restores the state from a snapshot.
     *
     * @throws IllegalArgumentException if the snapshot does not match the settings; the message names the field
     */
    static BalancerState restore(BalancerSettings settings, BalancerSnapshot snapshot) {
        BalancerState state = new BalancerState(settings, new SeededRandom(snapshot.randomState()));
        List<DecayingFailureCount> zones = new ArrayList<>();
        for (ZoneSnapshot zone : snapshot.zones()) {
            DecayingFailureCount failures = state.endpoints.failuresOfZone(zone.name());
            failures.count = zone.failures();
            failures.updatedAt = zone.failedAt();
            zones.add(failures);
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (EndpointSnapshot saved : snapshot.endpoints()) {
            String zone = elementAt("server " + saved.id() + ": zone", snapshot.zones(), saved.zone())
                    .name();
            Endpoint endpoint = restoreEndpoint(saved, zone, zones.get(saved.zone()));
            endpoints.add(endpoint);
            check(
                    !saved.listed() || state.endpoints.byId.put(endpoint.id, endpoint) == null,
                    "servers",
                    saved.id(),
                    "each endpoint of the list once");
        }
        state.endpoints.rebuildReady();
        snapshot.warmingUp()
                .forEach(index -> state.endpoints.slowStart.warmingUp.add(elementAt("cold", endpoints, index)));
        state.endpoints.slowStart.servedRate = snapshot.servedRate();
        state.endpoints.slowStart.servedRateAt = snapshot.servedRateAt();
        restoreClassModels(state, snapshot.classes());
        List<RouteState> routeStates = restoreRoutes(state, snapshot);
        List<RequestState> requests = new ArrayList<>();
        for (RequestSnapshot saved : snapshot.requests()) {
            RequestState request = restoreRequest(saved, state, routeStates, endpoints);
            requests.add(request);
            check(state.requests.put(request.id, request) == null, "requests", request.id, "each request once");
            if (request.queued && !request.finished) {
                state.admissionQueue.add(request);
            }
        }
        for (int i = 0; i < endpoints.size(); i++) {
            for (OutstandingAttemptSnapshot outstanding :
                    snapshot.endpoints().get(i).outstanding()) {
                RequestState request =
                        elementAt("server " + endpoints.get(i).id + ": out", requests, outstanding.request());
                AttemptState attempt =
                        elementAt("server " + endpoints.get(i).id + ": out", request.attempts, outstanding.attempt());
                check(
                        attempt.endpoint == endpoints.get(i) && !attempt.ended,
                        "server " + endpoints.get(i).id + ": out",
                        request.id,
                        "attempts in flight at this endpoint");
                endpoints.get(i).outstanding.addLast(attempt);
            }
        }
        for (TimerSnapshot saved : snapshot.timers()) {
            RequestState request = saved.request() < 0 ? null : elementAt("timers", requests, saved.request());
            state.timers.queue.add(
                    new TimerQueue.ScheduledTimer(saved.fireAt(), saved.sequence(), request, saved.cancelled()));
        }
        state.timers.armedAt = snapshot.timerArmedAt();
        state.timers.nextSequence = snapshot.nextSequence();
        restoreAdmissionLimit(state.admissionLimit, snapshot.admission(), requests);
        for (TokenBucketSnapshot saved : snapshot.tenantQuotas()) {
            TokenBucket quota = state.tenantQuotas.get(saved.tenant());
            check(
                    quota != null && quota.perSecond == saved.perSecond(),
                    "quotas",
                    saved.tenant(),
                    "a tenant that has this quota in the settings");
            restoreTokens(quota, saved);
        }
        check(
                snapshot.tenantQuotas().size() == state.tenantQuotas.size(),
                "quotas",
                snapshot.tenantQuotas().size(),
                state.tenantQuotas.size() + ", the number in the settings");
        state.meanRank = snapshot.meanRank();
        state.retryTokens = snapshot.retryTokens();
        state.started = snapshot.started();
        state.subscriptionPending = snapshot.subscriptionPending();
        state.subscribed = snapshot.subscribed();
        state.subscriptionRejections = snapshot.subscriptionRejections();
        return state;
    }

    private static Endpoint restoreEndpoint(EndpointSnapshot saved, String zone, DecayingFailureCount zoneFailures) {
        Endpoint endpoint = new Endpoint(saved.id(), zone, saved.cell(), saved.startedAt(), zoneFailures);
        endpoint.state = saved.state();
        endpoint.weight = saved.weight();
        endpoint.slowStartCredit = saved.slowStartCredit();
        endpoint.warmingUp = saved.warmingUp();
        endpoint.failures.count = saved.failures();
        endpoint.failures.updatedAt = saved.failedAt();
        endpoint.errorRate = saved.errorRate();
        System.arraycopy(saved.latencies(), 0, endpoint.latencies, 0, Endpoint.LATENCY_WINDOW);
        endpoint.latencySum = saved.latencySum();
        endpoint.sampleCount = saved.sampleCount();
        endpoint.nextSample = saved.nextSample();
        endpoint.lastSampleAt = saved.lastSampleAt();
        endpoint.lastResponseAt = saved.lastResponseAt();
        return endpoint;
    }

    private static void restoreClassModels(BalancerState state, List<ClassLatencySnapshot> classes) {
        check(
                classes.size() == state.classModels.size() + 1,
                "classes",
                classes.size(),
                state.classModels.size() + 1 + ", the classes of the settings and the unknown class");
        for (ClassLatencySnapshot saved : classes) {
            ClassLatencyModel model =
                    saved.name() == null ? state.unknownClassModel : state.classModels.get(saved.name());
            check(model != null, "classes", saved.name(), "a class of the settings");
            model.meanLatency = saved.meanLatency();
            model.latencyDeviation = saved.latencyDeviation();
            model.meanCost = saved.meanCost();
            model.costVariance = saved.costVariance();
            model.covariance = saved.covariance();
            model.sampleCount = saved.sampleCount();
        }
    }

    private static List<RouteState> restoreRoutes(BalancerState state, BalancerSnapshot snapshot) {
        List<RetryBudget> budgets = snapshot.retryBudgets().stream()
                .map(saved -> {
                    RetryBudget budget = new RetryBudget(saved.settings());
                    System.arraycopy(saved.requests(), 0, budget.requests, 0, RetryBudget.WINDOW_SECONDS);
                    System.arraycopy(saved.retries(), 0, budget.retries, 0, RetryBudget.WINDOW_SECONDS);
                    budget.latestSecond = saved.latestSecond();
                    return budget;
                })
                .toList();
        List<TokenBucket> quotas = snapshot.routeTokenBuckets().stream()
                .map(saved -> restoreTokens(new TokenBucket(saved.perSecond()), saved))
                .toList();
        List<LatencyPercentile> latencies = snapshot.latencyPercentiles().stream()
                .map(saved -> {
                    LatencyPercentile percentile = new LatencyPercentile(saved.hedging());
                    percentile.samples =
                            saved.samples() == null ? null : saved.samples().clone();
                    percentile.sampleCount = saved.sampleCount();
                    percentile.percentile = saved.percentile();
                    return percentile;
                })
                .toList();
        List<RouteState> routeStates = new ArrayList<>();
        for (RouteStateSnapshot saved : snapshot.routeStates()) {
            Map<String, TokenBucket> tenants = new LinkedHashMap<>();
            saved.tenantBuckets()
                    .forEach(index -> tenants.put(
                            elementAt("routeUse.quotas", snapshot.routeTokenBuckets(), index)
                                    .tenant(),
                            quotas.get(index)));
            routeStates.add(new RouteState(
                    saved.policy(),
                    saved.retryBudget() < 0 ? null : elementAt("routeUse.budget", budgets, saved.retryBudget()),
                    tenants,
                    saved.latencyPercentile() < 0
                            ? null
                            : elementAt("routeUse.latencies", latencies, saved.latencyPercentile())));
        }
        if (snapshot.routes() != null) {
            Map<String, RouteState> byName = new LinkedHashMap<>();
            check(
                    snapshot.activeRoutes().size() == snapshot.routes().size(),
                    "routesInForce",
                    snapshot.activeRoutes().size(),
                    "one for each route");
            for (int i = 0; i < snapshot.routes().size(); i++) {
                byName.put(
                        snapshot.routes().get(i).name(),
                        elementAt(
                                "routesInForce",
                                routeStates,
                                snapshot.activeRoutes().get(i)));
            }
            state.routes = new RouteStates(new RouteTable(snapshot.routes()), byName);
        }
        return routeStates;
    }

    private static RequestState restoreRequest(
            RequestSnapshot saved, BalancerState state, List<RouteState> routeStates, List<Endpoint> endpoints) {
        String field = "request " + saved.id() + ": ";
        ClassLatencyModel classModel =
                saved.requestClass() == null ? state.unknownClassModel : state.classModels.get(saved.requestClass());
        check(classModel != null, field + "requestClass", saved.requestClass(), "a class of the settings");
        RequestState request = new RequestState(
                saved.id(),
                classModel,
                saved.route() < 0 ? null : elementAt(field + "route", routeStates, saved.route()),
                saved.priorityWeight(),
                saved.rank(),
                saved.sequence(),
                saved.arrivedAt(),
                saved.deadline(),
                saved.deadlineShortened(),
                saved.cost());
        for (AttemptSnapshot each : saved.attempts()) {
            AttemptState attempt = new AttemptState(
                    request,
                    elementAt(field + "attempts", endpoints, each.endpoint()),
                    request.attempts.size(),
                    each.sentAt());
            attempt.ended = each.ended();
            attempt.notExecuted = each.notExecuted();
            attempt.exceededHedgeDelay = each.exceededHedgeDelay();
            attempt.streaming = each.streaming();
            attempt.retryTokenReserved = each.retryTokenReserved();
            request.attempts.add(attempt);
            request.outstandingCount += each.ended() ? 0 : 1;
        }
        request.firstPossiblyExecuted =
                saved.firstPossiblyExecuted() < 0 ? null : request.attempts.get(saved.firstPossiblyExecuted());
        check(
                request.firstPossiblyExecuted == null || !request.firstPossiblyExecuted.notExecuted,
                field + "anchor",
                saved.firstPossiblyExecuted(),
                "an attempt that may have been executed");
        request.allowedZones = saved.allowedZones() == null ? null : Set.copyOf(saved.allowedZones());
        request.finished = saved.finished();
        check(
                !request.finished || request.outstandingCount > 0,
                field + "done",
                true,
                "false, because no attempt is in flight");
        request.queued = saved.queued();
        request.admitted = saved.admitted();
        request.wakeUpAt = saved.wakeUpAt();
        return request;
    }

    private static void restoreAdmissionLimit(
            AdaptiveConcurrencyLimit limit, AdmissionLimitSnapshot saved, List<RequestState> requests) {
        long admittedRequests = requests.stream()
                .filter(request -> request.admitted && !request.finished)
                .count();
        check(
                saved.admitted() == admittedRequests,
                "admission.admitted",
                saved.admitted(),
                admittedRequests + ", the number of admitted requests");
        limit.limit = saved.limit();
        limit.admitted = saved.admitted();
        limit.adjusted = saved.adjusted();
        limit.inSlowStart = saved.inSlowStart();
        limit.lowestLatencyRatio = saved.lowestLatencyRatio();
        limit.slowAnswerExcess = saved.slowAnswerExcess();
        limit.endpointWeight = saved.endpointWeight();
    }

    private static TokenBucket restoreTokens(TokenBucket quota, TokenBucketSnapshot saved) {
        quota.tokens = saved.tokens();
        quota.refilledAt = saved.refilledAt();
        quota.everUsed = saved.everUsed();
        return quota;
    }

    private static <T> T elementAt(String field, List<T> list, int index) {
        check(index >= 0 && index < list.size(), field, index, "0 to " + (list.size() - 1));
        return list.get(index);
    }
}
