package weldhitch.decision.balancing;

import java.util.List;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.balancing.DecisionListener.DecisionReason;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.event.ZonesAssigned;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * The balancer of a node, which turns events into actions by the averaged Ratio approach (Küting et al., "Client-Based
 * Adaptive Load Balancing in Service-Oriented Systems"). An ordinary request is handled by these methods, in order:
 *
 * <ol>
 *   <li>{@link #onEndpointsChanged}: a service is a list of endpoints (section 3.1);
 *   <li>{@link #onRequestArrived}: the request is matched with its class and route, and admitted or queued (not part of
 *       the paper);
 *   <li>{@link #sendAttempt}: two endpoints are drawn by p_i = f_i / sum(f), f_i = t_b / t_i, with replacement, and the
 *       one with the lower mean is picked (section 3.2, by {@link WeightedEndpointPicker});
 *   <li>{@link #onAttemptEnded}, {@link #recordOutcome}: a failure lowers the endpoint's probability, and another
 *       endpoint is tried (section 3.4, by {@link RequestDispatcher});
 *   <li>{@link #recordServed}: the round trip of a successful attempt is added to the endpoint's window, whose mean is
 *       t_i (section 5.3, averaged variant).
 * </ol>
 *
 * <p>The state is in {@link BalancerState}. {@link AdmissionController} admits requests, {@link RequestDispatcher} and
 * {@link RetryPolicy} decide on retries and hedged requests, {@link RequestCompletion} ends requests, and
 * {@link EndpointUpdates} follows the endpoint list.
 *
 * <p>Invariants, and the classes that enforce them:
 *
 * <ul>
 *   <li>A request gets one final response before its deadline: {@link RequestCompletion}.
 *   <li>No request is executed twice unless it is idempotent or its repeats are discarded:
 *       {@link RetryPolicy#retryBlocker}, {@link RequestCompletion}.
 *   <li>Attempts are sent only to ready endpoints, and to those in slow start only while they have credit:
 *       {@link EndpointSet}, {@link WeightedEndpointPicker}.
 * </ul>
 *
 * <p>Not thread-safe; owned by one thread. It does no I/O and reads no clock: the time comes from the caller, and all
 * randomness from the seed.
 */
public final class RatioBalancer {
    /** The token of the only timer that is requested from the caller. Captures contain it. */
    private static final String TIMER_TOKEN = "due";

    private final BalancerSettings settings;
    private final BalancerState state;
    private final DecisionContext context;
    private final WeightedEndpointPicker picker;
    private final EndpointUpdates endpointUpdates;
    private final RequestCompletion completion;
    private final RetryPolicy retryPolicy;
    private final RequestDispatcher dispatcher;
    private final AdmissionController admission;

    /** Creates a balancer without endpoints or routes; {@code seed} determines all its random numbers. */
    public RatioBalancer(BalancerSettings settings, long seed) {
        this(new BalancerState(settings, new SeededRandom(seed)), null);
    }

    private RatioBalancer(BalancerState state, DecisionListener listener) {
        this.settings = state.settings;
        this.state = state;
        this.picker = new WeightedEndpointPicker(settings, state.endpoints, state.random);
        this.context = new DecisionContext(state, listener);
        this.endpointUpdates = new EndpointUpdates(context);
        this.completion = new RequestCompletion(context);
        this.retryPolicy = new RetryPolicy(context);
        this.dispatcher = new RequestDispatcher(context, picker, retryPolicy, completion, this::sendAttempt);
        this.admission = new AdmissionController(context, dispatcher::dispatch);
    }

    /**
     * Restores a balancer from a snapshot. Given the same events, it makes exactly the decisions of the original.
     *
     * @param settings the settings of the balancer that the snapshot was taken from
     * @param listener receives the reasons of decisions, or null
     * @throws IllegalArgumentException if no balancer with these settings can have this snapshot; the message names the
     *     field
     */
    public static RatioBalancer restore(
            BalancerSettings settings, BalancerSnapshot snapshot, DecisionListener listener) {
        return new RatioBalancer(SnapshotBuilder.restore(settings, snapshot), listener);
    }

    /** Returns a snapshot of the complete state. Called between two events. */
    public BalancerSnapshot snapshot() {
        return beginSnapshot().finish();
    }

    /**
     * Begins a snapshot of the current state, which is then saved in parts between the events that follow. A snapshot
     * begun earlier is completed first.
     */
    public IncrementalSnapshot beginSnapshot() {
        if (state.snapshotInProgress != null) {
            state.snapshotInProgress.saveNext(Integer.MAX_VALUE);
        }
        state.snapshotInProgress = SnapshotBuilder.begin(state);
        return state.snapshotInProgress;
    }

    /** Handles one event at the time given by the caller, and returns the actions to execute, in order. */
    public List<BalancerAction> handle(long nowNanos, BalancerEvent event) {
        context.beginEvent(nowNanos);
        if (!state.started) {
            state.started = true;
            endpointUpdates.scheduleFirstSubscription();
        }
        handle(event);
        admission.admitQueued();
        long delay = state.timers.nextDelay(nowNanos);
        if (delay >= 0) {
            context.emit(new ScheduleTimer(delay, TIMER_TOKEN));
        }
        return context.actions();
    }

    private void handle(BalancerEvent event) {
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
            dispatcher.onZonesAssigned(assigned);
        } else if (event instanceof ClientDisconnected disconnected) {
            onClientDisconnected(disconnected);
        }
    }

    /** Applies an update of the endpoint list, the table that maps the service's name to addresses (section 3.1). */
    private void onEndpointsChanged(EndpointsChanged changed) {
        endpointUpdates.onEndpointsChanged(changed);
    }

    /** Matches the request with its class and route, checks its zones and tenant quota, and admits or queues it. */
    private void onRequestArrived(RequestArrived arrival) {
        if (state.requests.containsKey(arrival.requestId())) {
            return;
        }
        long now = context.now();
        ClassLatencyModel classModel = state.classModels.getOrDefault(arrival.requestClass(), state.unknownClassModel);
        RouteState route = state.routes.match(arrival);
        RequestState request = RequestState.fromArrival(
                arrival,
                classModel,
                route,
                admission.priorityWeight(arrival, classModel),
                state.timers.nextSequenceNumber(),
                now);
        state.requests.put(request.id, request);
        if (request.allowedZones != null && request.allowedZones.isEmpty()) {
            context.notifyListener(request, DecisionReason.NO_ALLOWED_ZONE);
            completion.reject(request, (long) request.expectedLatency());
            return;
        }
        TokenBucket exhaustedQuota = request.route == null ? null : request.route.exhaustedQuota(arrival.tenant(), now);
        if (exhaustedQuota != null) {
            context.notifyListener(request, DecisionReason.TENANT_QUOTA_EXHAUSTED);
            completion.reject(request, exhaustedQuota.nanosUntilNextToken());
            return;
        }
        if (request.route != null) {
            request.route.recordRequest(now);
        }
        admission.recordArrival(request);
        retryPolicy.recordArrival();
        state.endpoints.slowStart.recordArrival(now);
        admission.admitOrEnqueue(request);
    }

    /**
     * Sends an attempt to the better of two endpoints drawn by weight (section 3.2). Returns false if no endpoint can
     * accept the attempt now. Called by the {@link RequestDispatcher}.
     */
    private boolean sendAttempt(RequestState request) {
        long now = context.now();
        Endpoint endpoint = picker.pickEndpoint(request, now, context.listener);
        if (endpoint == null) {
            return false;
        }
        AttemptState attempt = request.startAttempt(endpoint, now);
        endpoint.attemptSent(attempt);
        long hedgeDelay = retryPolicy.hedgeDelay(request);
        long timeout = retryPolicy.attemptTimeout(request, attempt, hedgeDelay);
        context.emit(new SendAttempt(request.id, endpoint.id, timeout));
        if (hedgeDelay != RetryPolicy.NO_HEDGE && settings.limits().hedgingAllowed()) {
            context.scheduleWakeUp(request, now + hedgeDelay);
        }
        return true;
    }

    /** Updates the state of the endpoint, then closes the request or tries another endpoint. */
    private void onAttemptEnded(AttemptEnded ended) {
        RequestState request = state.requests.get(ended.requestId());
        AttemptState attempt = request == null ? null : request.outstandingAttempt(ended.attempt());
        if (attempt == null) {
            return;
        }
        attempt.endpoint.attemptEnded(attempt);
        request.attemptEnded(attempt, ended.outcome().notExecuted);
        retryPolicy.returnReservedToken(attempt);
        recordOutcome(request, attempt, ended);
        if (ended.requestFinished() || request.finished) {
            completion.close(request);
        } else if (request.outstandingCount == 0 || context.deadlineReached(request)) {
            dispatcher.retryOrFinish(request, ended.outcome());
        }
    }

    /**
     * Records the outcome of an attempt for its endpoint. A failure adds no latency to the window, but lowers the
     * probability that the endpoint is drawn (section 3.4).
     */
    private void recordOutcome(RequestState request, AttemptState attempt, AttemptEnded ended) {
        Endpoint endpoint = attempt.endpoint;
        long now = context.now();
        switch (ended.outcome()) {
            // Only a successful attempt adds its round trip to the window.
            case OK -> {
                endpoint.responseReceived(now);
                if (!attempt.streaming) {
                    recordServed(request, endpoint, ended.latency());
                }
            }
            case ERROR -> {
                endpoint.responseReceived(now);
                endpoint.recordFailure(true, false, now);
            }
            case FULL -> {
                endpoint.responseReceived(now);
                endpoint.recordFailure(false, false, now);
                admission.recordEndpointFull(attempt);
            }
            case TIMED_OUT -> {
                if (endpoint.lastResponseAt > attempt.sentAt) {
                    // The endpoint has answered other attempts since, so it is slow rather than unresponsive.
                    admission.recordLatency(request);
                }
                endpoint.recordFailure(false, true, now);
            }
            case CONNECT_FAILED -> endpoint.recordFailure(false, true, now);
            case RESET -> endpoint.recordFailure(false, false, now);
            case CANCELLED -> {
                // A hedged request was due because the attempt took too long. This counts as a failure like a
                // timeout, but not as a failure of the zone.
                if (attempt.exceededHedgeDelay) {
                    endpoint.recordFailure(false, false, now);
                }
            }
            case NOT_SENT -> {}
        }
    }

    /** Adds the round trip of a successful attempt to its endpoint's window (section 5.3, averaged variant). */
    private void recordServed(RequestState request, Endpoint endpoint, long latency) {
        long now = context.now();
        admission.recordLatency(request);
        endpoint.recordLatency(latency / request.expectedLatency(), now);
        request.classModel.record(request.cost, latency);
        if (request.route != null) {
            request.route.recordLatency(latency);
        }
        state.endpoints.slowStart.recordServed(endpoint, now);
    }

    /** Handles the start of a response: the attempt counts as successful, and its response is the final one. */
    private void onResponseStarted(ResponseStarted started) {
        RequestState request = state.requests.get(started.requestId());
        AttemptState attempt = request == null ? null : request.outstandingAttempt(started.attempt());
        if (attempt != null && !attempt.streaming) {
            attempt.streaming = true;
            attempt.endpoint.attemptEnded(attempt);
            attempt.endpoint.responseReceived(context.now());
            recordServed(request, attempt.endpoint, started.latency());
            completion.close(request);
        }
    }

    private void onClientDisconnected(ClientDisconnected disconnected) {
        RequestState request = state.requests.get(disconnected.requestId());
        if (request != null) {
            completion.close(request);
        }
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

    /** Returns the active route states, from which the next ones are prepared ({@link RoutesChanged#prepared}). */
    public RouteStates routes() {
        return state.routes;
    }

    private void onTimerFired() {
        long now = context.now();
        state.timers.onTimerFired(now);
        for (TimerQueue.ScheduledTimer timer = state.timers.pollExpired(now);
                timer != null;
                timer = state.timers.pollExpired(now)) {
            if (timer.cancelled()) {
                continue;
            }
            if (timer.request() == null) {
                endpointUpdates.subscribe();
            } else if (!timer.request().finished && timer.request().wakeUpAt == timer.fireAt()) {
                dispatcher.onWakeUp(timer.request());
            }
        }
    }
}
