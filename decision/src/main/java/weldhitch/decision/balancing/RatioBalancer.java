package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.balancing.DecisionListener.DecisionReason;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.event.ZonesAssigned;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.PlatformLimits;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * Makes all decisions of a balancer node: it turns events into actions. Its state is in {@link BalancerState};
 * the choice of an endpoint, by the averaged Ratio approach (Küting et al., sections 3.2 and 5.3), in
 * {@link WeightedEndpointPicker}.
 *
 * <p>Invariants, and where each is enforced: one final answer before the deadline ({@link #finish}); no request
 * executed twice unless it is idempotent or its repeats are discarded ({@link #retryBlocker}, {@link #mayReject});
 * draining and warming-up endpoints ({@link EndpointSet}, {@link WeightedEndpointPicker}: only ready endpoints are sent to,
 * those in slow start only while they have credit).
 *
 * <p>Not thread-safe: one thread owns it. It does no I/O and reads no clock; the time comes from the caller,
 * and the only randomness from the seed.
 */
public final class RatioBalancer {
    /** Retry tokens that each request earns. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    /** Nanoseconds after which a request that no endpoint can take now is tried again. */
    private static final long HOLD_INTERVAL = 20_000_000L;

    private final BalancerSettings settings;
    private final BalancerState state;
    private final WeightedEndpointPicker picker;
    /** Receives the reasons of decisions; null except in a replay. */
    private final DecisionListener listener;

    private long now;
    private List<BalancerAction> actions;

    /** Creates a balancer without endpoints or routes; {@code seed} determines all its random draws. */
    public RatioBalancer(BalancerSettings settings, long seed) {
        this(new BalancerState(settings, new SeededRandom(seed)), null);
    }

    private RatioBalancer(BalancerState state, DecisionListener listener) {
        this.settings = state.settings;
        this.state = state;
        this.picker = new WeightedEndpointPicker(settings, state.endpoints, state.random);
        this.listener = listener;
    }

    /**
     * Restores a balancer from a snapshot; its decisions from there on are bit for bit those of the original.
     *
     * @param settings the settings of the balancer that the snapshot is of
     * @param listener receives the reasons of decisions, or null
     * @throws IllegalArgumentException if no balancer with these settings can have this snapshot; names the
     * field
     */
    public static RatioBalancer restore(
            BalancerSettings settings, BalancerSnapshot snapshot, DecisionListener listener) {
        return new RatioBalancer(SnapshotBuilder.restore(settings, snapshot), listener);
    }

    /** Returns the complete state between two events. */
    public BalancerSnapshot snapshot() {
        return beginSnapshot().finish();
    }

    /**
     * Begins a snapshot of the present state, to be taken in parts between the events that follow. A snapshot
     * begun earlier is completed first.
     */
    public IncrementalSnapshot beginSnapshot() {
        if (state.snapshotInProgress != null) {
            state.snapshotInProgress.saveNext(Integer.MAX_VALUE);
        }
        state.snapshotInProgress = SnapshotBuilder.begin(state);
        return state.snapshotInProgress;
    }

    /** Handles one event at the caller's time and returns the actions to execute, in order. */
    public List<BalancerAction> handle(long nowNanos, BalancerEvent event) {
        now = nowNanos;
        actions = new ArrayList<>(4);
        if (!state.started) {
            state.started = true;
            scheduleFirstSubscription();
        }
        if (event instanceof RequestArrived arrival) {
            onRequestArrived(arrival);
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(ended);
        } else if (event instanceof EndpointsChanged changed) {
            onEndpointsChanged(changed);
        } else if (event instanceof TimerFired) {
            onTimerFired();
        } else if (event instanceof ResponseStarted started) {
            onResponseStarted(started);
        } else if (event instanceof RoutesChanged changed) {
            onRoutesChanged(changed);
        } else if (event instanceof ZonesAssigned assigned) {
            onZonesAssigned(assigned);
        } else if (event instanceof ClientDisconnected disconnected) {
            RequestState request = state.requests.get(disconnected.requestId());
            if (request != null) {
                close(request);
            }
        }
        admitQueued();
        long delay = state.timers.nextDelay(now);
        if (delay >= 0) {
            actions.add(new ScheduleTimer(delay, "due"));
        }
        return actions;
    }

    private void notifyListener(RequestState request, DecisionReason reason) {
        if (listener != null) {
            listener.onDecision(now, request.id, reason);
        }
    }

    // ---- membership ----

    private void onEndpointsChanged(EndpointsChanged changed) {
        if (changed.kind() == EndpointUpdateKind.REJECTED) {
            state.subscriptionPending = false;
            state.subscribed = false;
            state.subscriptionRejections = Math.min(state.subscriptionRejections + 1, 6);
            double backoff = Math.min(
                    1e9 * (1 << state.subscriptionRejections),
                    0.8 * settings.rules().maxPollInterval());
            state.timers.schedule(now + (long) (backoff * (0.5 + state.random.nextDouble() / 2)), null);
            return;
        }
        if (changed.kind() != EndpointUpdateKind.CACHED && state.subscriptionPending) {
            state.subscribed = true;
            state.subscriptionRejections = 0;
        }
        state.endpoints.apply(changed, state.random, now);
        state.admissionLimit.onEndpointsChanged(
                state.endpoints.ready.size(), state.endpoints.totalWeight(), settings.nodeCount());
    }

    private void scheduleFirstSubscription() {
        if (settings.pollsEndpoints()) {
            double maxDelay = Math.min(0.4 * settings.rules().maxPollInterval(), 50e6 * settings.nodeCount());
            state.timers.schedule(now + (long) (state.random.nextDouble() * maxDelay), null);
        }
    }

    private void subscribe() {
        if (!state.subscriptionPending && !state.subscribed) {
            state.subscriptionPending = true;
            actions.add(new SubscribeToEndpoints());
        }
    }

    // ---- arrival ----

    private void onRequestArrived(RequestArrived arrival) {
        if (state.requests.containsKey(arrival.requestId())) {
            return;
        }
        ClassLatencyModel classModel = state.classModels.getOrDefault(arrival.requestClass(), state.unknownClassModel);
        RouteState route = state.routes.match(arrival);
        RequestState request = RequestState.fromArrival(
                arrival,
                classModel,
                route,
                priorityWeight(arrival, classModel),
                state.timers.nextSequenceNumber(),
                now);
        state.requests.put(request.id, request);
        if (request.allowedZones != null && request.allowedZones.isEmpty()) {
            notifyListener(request, DecisionReason.NO_ALLOWED_ZONE);
            reject(request, (long) request.expectedLatency());
            return;
        }
        TokenBucket exhaustedQuota = request.route == null ? null : request.route.exhaustedQuota(arrival.tenant(), now);
        if (exhaustedQuota != null) {
            notifyListener(request, DecisionReason.TENANT_QUOTA_EXHAUSTED);
            reject(request, exhaustedQuota.nanosUntilNextToken());
            return;
        }
        if (request.route != null) {
            request.route.recordRequest(now);
        }
        state.meanRank = state.meanRank == 0
                ? request.rank
                : state.meanRank + ClassLatencyModel.SMOOTHING_FACTOR * (request.rank - state.meanRank);
        state.retryTokens = Math.min(BalancerState.MAX_RETRY_TOKENS, state.retryTokens + RETRY_TOKENS_PER_REQUEST);
        state.endpoints.slowStart.recordArrival(now);
        admitOrEnqueue(request);
    }

    private double priorityWeight(RequestArrived arrival, ClassLatencyModel classModel) {
        double cost = settings.weightByCost() && arrival.cost() > 0 ? arrival.cost() : 1;
        double priorityWeight = classModel.requestClass.priorityWeight() * cost;
        TokenBucket quota = state.tenantQuotas.get(String.valueOf(arrival.tenant()));
        if (quota != null && !quota.tryTake(now)) {
            priorityWeight *= settings.overQuotaWeight();
        }
        return priorityWeight;
    }

    private void onRoutesChanged(RoutesChanged changed) {
        RouteStates prepared = changed.prepared() instanceof RouteStates states ? states : null;
        if (prepared == state.routes) {
            return;
        }
        state.routes = prepared != null && prepared.isSuccessorOf(state.routes)
                ? prepared
                : state.routes.prepareNext(changed.routes(), settings.nodeCount());
        state.routes.releasePredecessor();
    }

    /** Returns the route states in force, from which the next ones are prepared ({@link RoutesChanged#prepared}). */
    public RouteStates routes() {
        return state.routes;
    }

    // ---- admission ----

    /**
     * Admits the request, or queues it. The first tier admits only as many concurrent requests as are answered
     * within their latency objective; the rest queue, those with the highest priority weight for their work
     * first. Deeper tiers admit everything: rejecting there would waste the work already done in the tiers
     * above.
     */
    private void admitOrEnqueue(RequestState request) {
        if (settings.tier() > 0
                || hasCapacity(request)
                        && (state.admissionQueue.isEmpty() || request.compareTo(state.admissionQueue.peek()) < 0)) {
            admit(request);
            return;
        }
        request.queued = true;
        state.admissionQueue.add(request);
        notifyListener(request, DecisionReason.QUEUED);
        long expectedLatency = (long) request.expectedLatency();
        long latencyObjective = request.classModel.requestClass.latencyObjective() > 0
                ? request.classModel.requestClass.latencyObjective()
                : Long.MAX_VALUE / 2;
        // Reject early rather than just before the deadline, so that the client has time to try another node.
        long rejectAt = Math.min(
                Math.min(latestAnswerTime(request), now + latencyObjective) - 2 * expectedLatency,
                now + expectedLatency / 2);
        scheduleWakeUp(request, Math.max(now + settings.clockResolution(), rejectAt));
    }

    private void admit(RequestState request) {
        request.admitted = true;
        state.admissionLimit.acquire();
        notifyListener(request, DecisionReason.ADMITTED);
        dispatch(request, false);
    }

    private boolean hasCapacity(RequestState request) {
        return state.admissionLimit.hasCapacity(request.rank >= state.meanRank);
    }

    private void admitQueued() {
        while (!state.admissionQueue.isEmpty() && hasCapacity(state.admissionQueue.peek())) {
            RequestState request = state.admissionQueue.poll();
            request.queued = false;
            admit(request);
        }
    }

    private void updateAdmissionLimit(RequestState request) {
        if (request.admitted && request.classModel.requestClass.latencyObjective() > 0) {
            state.admissionLimit.recordLatency(
                    now - request.arrivedAt, request.classModel.requestClass.latencyObjective());
        }
    }

    // ---- dispatch and further attempts ----

    /**
     * Sends an attempt, or holds the request while waiting may help, or ends it.
     *
     * <p>On the ordinary path this is the Ratio approach with two choices (Küting et al., section 3.2);
     * choosing another endpoint for the next attempt after a failure is the failover of section 3.4.
     *
     * @param zonesJustAssigned whether the request's zones have just been requested and assigned, so that there are no
     * others
     */
    private void dispatch(RequestState request, boolean zonesJustAssigned) {
        if (now >= latestAnswerTime(request)) {
            notifyListener(request, DecisionReason.DEADLINE_EXCEEDED);
            finish(request);
            return;
        }
        if (request.allowedZones != null
                && !zonesJustAssigned
                && !boundToDeduplicationScope(request)
                && !picker.hasUnattempted(request, now)) {
            notifyListener(request, DecisionReason.REQUESTING_ZONES);
            actions.add(new RequestZones(request.id));
            scheduleWakeUp(request, Math.min(latestAnswerTime(request), now + HOLD_INTERVAL));
            return;
        }
        // Section 3.2: two weighted draws with replacement; the endpoint with the lower mean is taken.
        Endpoint endpoint = picker.pickEndpoint(request, now, listener);
        if (endpoint == null) {
            notifyListener(request, DecisionReason.NO_ENDPOINT_AVAILABLE);
            scheduleWakeUp(request, Math.min(latestAnswerTime(request), now + HOLD_INTERVAL));
            return;
        }
        AttemptState attempt = request.startAttempt(endpoint, now);
        endpoint.attemptSent(attempt);
        long defaultHedgeDelay = request.hedgeDelay();
        boolean hedgingAllowed = settings.limits().hedgingAllowed();
        long hedgeDelay = hedgingAllowed
                        && request.route != null
                        && request.classModel.requestClass.idempotency() == Idempotency.IDEMPOTENT
                ? request.route.hedgeDelay(defaultHedgeDelay)
                : defaultHedgeDelay;
        boolean retryable = request.classModel.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT
                && request.attempts.size() < maxAttempts(request)
                && hedgeDelay > 0
                && now + hedgeDelay < request.deadline;
        long timeout = retryable && !hedgingAllowed ? attemptTimeout(request, attempt) : 0;
        actions.add(new SendAttempt(
                request.id,
                endpoint.id,
                request.route == null ? timeout : request.route.attemptTimeout(timeout, request.deadline - now)));
        if (retryable && hedgingAllowed) {
            scheduleWakeUp(request, now + hedgeDelay);
        }
    }

    /**
     * Returns the time after which an attempt is abandoned for a retry, where hedging is not allowed; 0 for
     * never. The retry token is taken in advance: abandoning an attempt that may still be answered, and then
     * having no token for the retry, would lose the request.
     */
    private long attemptTimeout(RequestState request, AttemptState attempt) {
        long timeout = request.classModel.attemptTimeout(request.cost);
        if (now + timeout >= request.deadline) {
            return 0;
        }
        if (request.route == null || !request.route.hasRetryBudget()) {
            if (state.retryTokens < 1) {
                return 0;
            }
            state.retryTokens--;
            attempt.retryTokenReserved = true;
        }
        return timeout;
    }

    /**
     * Whether only endpoints of the zone, or cell, where the request may have been executed discard its
     * repeats.
     */
    private static boolean boundToDeduplicationScope(RequestState request) {
        return request.firstPossiblyExecuted != null
                && request.classModel.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && request.classModel.requestClass.deduplicationScope() != DeduplicationScope.ALL;
    }

    private void onZonesAssigned(ZonesAssigned assigned) {
        RequestState request = state.requests.get(assigned.requestId());
        if (request == null
                || request.finished
                || request.queued
                || request.outstandingCount > 0
                || request.allowedZones == null
                || boundToDeduplicationScope(request)
                || !request.attempts.isEmpty() && retryBlocker(request) != null) {
            return;
        }
        request.allowedZones = Set.copyOf(assigned.zones());
        if (request.allowedZones.isEmpty()) {
            notifyListener(request, DecisionReason.NO_ALLOWED_ZONE);
            finish(request);
        } else {
            dispatch(request, true);
        }
    }

    private int maxAttempts(RequestState request) {
        int allowed = settings.limits().maxAttempts();
        return request.route == null ? allowed : request.route.maxAttempts(allowed);
    }

    private void onAttemptEnded(AttemptEnded ended) {
        RequestState request = state.requests.get(ended.requestId());
        AttemptState attempt = request == null ? null : request.outstandingAttempt(ended.attempt());
        if (attempt == null) {
            return;
        }
        attempt.endpoint.attemptEnded(attempt);
        request.attemptEnded(attempt, ended.outcome().notExecuted);
        if (attempt.retryTokenReserved) {
            attempt.retryTokenReserved = false;
            state.retryTokens = Math.min(BalancerState.MAX_RETRY_TOKENS, state.retryTokens + 1);
        }
        recordOutcome(request, attempt, ended);
        if (ended.requestFinished() || request.finished) {
            close(request);
        } else if (request.outstandingCount == 0 || now >= latestAnswerTime(request)) {
            retryOrFinish(request, ended.outcome());
        }
    }

    private void recordOutcome(RequestState request, AttemptState attempt, AttemptEnded ended) {
        Endpoint endpoint = attempt.endpoint;
        switch (ended.outcome()) {
            // Section 5.3, averaged variant: only a served call adds its round-trip time to the window.
            case OK -> {
                endpoint.responseReceived(now);
                if (!attempt.streaming) {
                    recordSuccess(request, endpoint, ended.latency());
                }
            }
            // Section 3.4: a failure adds no time, but lowers the probability of choosing the endpoint.
            case ERROR -> {
                endpoint.responseReceived(now);
                endpoint.recordFailure(true, false, now);
            }
            case FULL -> {
                endpoint.responseReceived(now);
                endpoint.recordFailure(false, false, now);
                if (request.admitted) {
                    state.admissionLimit.onEndpointFull();
                    if (attempt.number == 1) {
                        state.admissionLimit.onSecondEndpointFull();
                    }
                }
            }
            case TIMED_OUT -> {
                if (endpoint.lastResponseAt > attempt.sentAt) {
                    // The endpoint has answered other attempts since, so it is slow rather than unresponsive.
                    updateAdmissionLimit(request);
                }
                endpoint.recordFailure(false, true, now);
            }
            case CONNECT_FAILED -> endpoint.recordFailure(false, true, now);
            case RESET -> endpoint.recordFailure(false, false, now);
            case CANCELLED -> {
                // A hedged request was sent as this attempt was overdue: a failure like a timeout, but not of
                // its zone.
                if (attempt.exceededHedgeDelay) {
                    endpoint.recordFailure(false, false, now);
                }
            }
            case NOT_SENT -> {}
        }
    }

    private void recordSuccess(RequestState request, Endpoint endpoint, long latency) {
        updateAdmissionLimit(request);
        endpoint.recordLatency(latency / request.expectedLatency(), now);
        request.classModel.record(request.cost, latency);
        if (request.route != null) {
            request.route.recordLatency(latency);
        }
        state.endpoints.slowStart.recordServed(endpoint, now);
    }

    private void onResponseStarted(ResponseStarted started) {
        RequestState request = state.requests.get(started.requestId());
        AttemptState attempt = request == null ? null : request.outstandingAttempt(started.attempt());
        if (attempt != null && !attempt.streaming) {
            attempt.streaming = true;
            attempt.endpoint.attemptEnded(attempt);
            attempt.endpoint.responseReceived(now);
            recordSuccess(request, attempt.endpoint, started.latency());
            close(request);
        }
    }

    /**
     * Retries after an ended attempt (failover, section 3.4), at once or after a backoff, or ends the request.
     */
    private void retryOrFinish(RequestState request, AttemptOutcome outcome) {
        DecisionReason blocker = request.route == null || request.route.retriesOn(outcome)
                ? retryBlocker(request)
                : DecisionReason.OUTCOME_NOT_RETRYABLE;
        if (request.outstandingCount > 0 || blocker != null || !takeRetryToken(request, outcome.notExecuted)) {
            notifyListener(request, blocker == null ? DecisionReason.RETRY_BUDGET_EXHAUSTED : blocker);
            finish(request);
            return;
        }
        long routeBackoff = request.route == null ? -1 : request.route.backoff(request.attempts.size(), state.random);
        if (routeBackoff >= 0 && now + routeBackoff >= latestAnswerTime(request)) {
            notifyListener(request, DecisionReason.BACKOFF_EXCEEDS_DEADLINE);
            finish(request);
        } else if (routeBackoff > 0) {
            notifyListener(request, DecisionReason.BACKING_OFF);
            scheduleWakeUp(request, now + routeBackoff);
        } else if (routeBackoff == 0 || request.attempts.size() < 2) {
            notifyListener(request, DecisionReason.RETRIED);
            dispatch(request, false);
        } else {
            notifyListener(request, DecisionReason.BACKING_OFF);
            double backoff = request.expectedLatency() / 4 * (1 << Math.min(request.attempts.size() - 2, 4));
            scheduleWakeUp(
                    request,
                    Math.min(latestAnswerTime(request), now + (long) (backoff * (0.5 + state.random.nextDouble()))));
        }
    }

    /** Returns why no further attempt may be sent now; null if one may. */
    private DecisionReason retryBlocker(RequestState request) {
        if (request.finished || now >= latestAnswerTime(request)) {
            return DecisionReason.DEADLINE_EXCEEDED;
        }
        if (request.attempts.size() >= maxAttempts(request)
                || request.outstandingCount > 0 && !settings.limits().hedgingAllowed()) {
            return DecisionReason.MAX_ATTEMPTS_REACHED;
        }
        return switch (request.classModel.requestClass.idempotency()) {
            case IDEMPOTENT -> null;
            case NON_IDEMPOTENT -> request.firstPossiblyExecuted == null ? null : DecisionReason.POSSIBLY_EXECUTED;
            case IDEMPOTENCY_KEY ->
                request.firstPossiblyExecuted == null
                                || now + settings.clockResolution()
                                        < request.firstPossiblyExecuted.sentAt
                                                + request.classModel.requestClass.deduplicationWindow()
                        ? null
                        : DecisionReason.DEDUPLICATION_WINDOW_EXPIRED;
        };
    }

    /** Whether a rejection would be true: the request was not executed, or repeating it does no harm. */
    private static boolean mayReject(RequestState request) {
        RequestClass requestClass = request.classModel.requestClass;
        return request.firstPossiblyExecuted == null
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /**
     * Takes the token for a further attempt. A route's own retry budget is charged for each one, the node's
     * retry tokens only if the last attempt may have been executed.
     */
    private boolean takeRetryToken(RequestState request, boolean notExecuted) {
        if (request.route != null && request.route.hasRetryBudget()) {
            return request.route.takeRetry(now);
        }
        if (notExecuted) {
            return true;
        }
        if (state.retryTokens < 1) {
            return false;
        }
        state.retryTokens--;
        return true;
    }

    // ---- deadlines ----

    /** The latest time of an answer: one clock step before the deadline. */
    private long latestAnswerTime(RequestState request) {
        return request.deadline - settings.clockResolution();
    }

    private void scheduleWakeUp(RequestState request, long time) {
        request.wakeUpAt = time;
        state.timers.schedule(time, request);
    }

    /** Ends the request with the node's own final answer: rejected where that is true, failed otherwise. */
    private void finish(RequestState request) {
        if (!request.finished) {
            if (mayReject(request)) {
                reject(request, request.queued ? (long) request.expectedLatency() / 2 : 0);
            } else {
                actions.add(new FailRequest(request.id, request.deadlineShortened && now >= latestAnswerTime(request)));
                close(request);
            }
        }
    }

    /**
     * Rejects the request; {@code defaultRetryAfter} is the Retry-After advice in nanoseconds, before its
     * bounds.
     */
    private void reject(RequestState request, long defaultRetryAfter) {
        PlatformLimits limits = settings.limits();
        long retryAfter = request.route == null ? defaultRetryAfter : request.route.retryAfter(defaultRetryAfter);
        actions.add(new RejectRequest(
                request.id, limits.retryAfterAllowed() ? Math.min(limits.maxRetryAfter(), retryAfter) : 0));
        close(request);
    }

    /** Closes the request: no further attempts; those in flight are cancelled if allowed, and awaited. */
    private void close(RequestState request) {
        if (!request.finished) {
            request.finished = true;
            if (request.admitted) {
                state.admissionLimit.release();
            } else if (request.queued) {
                state.admissionQueue.remove(request);
            }
            for (AttemptState attempt : request.attempts) {
                if (!attempt.ended && !attempt.streaming && settings.limits().cancellationAllowed()) {
                    actions.add(new CancelAttempt(request.id, attempt.number));
                }
            }
        }
        if (request.outstandingCount == 0) {
            state.requests.remove(request.id);
        }
    }

    private void onTimerFired() {
        state.timers.onTimerFired(now);
        for (TimerQueue.ScheduledTimer timer = state.timers.pollExpired(now);
                timer != null;
                timer = state.timers.pollExpired(now)) {
            if (timer.cancelled()) {
                continue;
            }
            if (timer.request() == null) {
                subscribe();
            } else if (!timer.request().finished && timer.request().wakeUpAt == timer.fireAt()) {
                onWakeUp(timer.request());
            }
        }
    }

    private void onWakeUp(RequestState request) {
        if (request.queued) {
            notifyListener(request, DecisionReason.QUEUE_TIMEOUT);
            finish(request);
            return;
        }
        DecisionReason blocker = request.attempts.isEmpty() ? null : retryBlocker(request);
        if (request.outstandingCount == 0 && blocker == null) {
            dispatch(request, false);
        } else if (request.outstandingCount == 0) {
            // The deduplication window may have expired during the backoff.
            notifyListener(request, blocker);
            finish(request);
        } else {
            AttemptState lastAttempt = request.attempts.get(request.attempts.size() - 1);
            // A route may hedge long before the attempt is overdue.
            lastAttempt.exceededHedgeDelay = request.route == null || now - lastAttempt.sentAt >= request.hedgeDelay();
            if (blocker == null && takeRetryToken(request, false)) {
                notifyListener(request, DecisionReason.HEDGED);
                dispatch(request, true);
            }
        }
    }
}
