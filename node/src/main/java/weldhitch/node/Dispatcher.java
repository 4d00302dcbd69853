package weldhitch.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import weldhitch.capture.live.CaptureRecorder;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.LogMessage;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.balancing.IncrementalSnapshot;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.RouteStates;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
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
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.PlatformLimits;
import weldhitch.fleet.locality.LocalityRules;

/**
 * Connects the balancer to the sockets: turns requests, attempt outcomes, endpoint updates and timers into
 * events for the balancer and executes the actions that it returns. Owns the in-flight requests and their
 * attempts; not thread-safe, confined to the event loop.
 */
final class Dispatcher implements AttemptListener {
    private static final long WATCHDOG_SLACK_NANOS = 8_000_000L;
    /** Retry-After if the node is fenced or the route version is in doubt: a few of the node's heartbeat intervals. */
    private static final long REJECTION_RETRY_AFTER_NANOS = 1_000_000_000L;

    private final Clock clock;
    private final NodeEventLog events;
    private final EventLoop loop;
    private final BalancerDriver driver;
    private final PlatformLimits limits;
    private final InFlightRequests requests;
    private final RouteTableSelector routeSelector = new RouteTableSelector();
    private ServerConnectionPool connectionPool;
    private Runnable onSubscribe = () -> {};
    /** Selects the zones that requests may go to; null if the node has no route configuration. */
    private ZoneRouter zoneRouter;

    Dispatcher(ConnectionContext context, EventLoop loop, RatioBalancer balancer, PlatformLimits limits) {
        clock = context.clock();
        requests = new InFlightRequests(clock);
        events = context.events();
        this.loop = loop;
        driver = new BalancerDriver(clock, balancer, this::execute);
        this.limits = limits;
    }

    void connect(ServerConnectionPool pool, Runnable subscribe) {
        connectionPool = pool;
        onSubscribe = subscribe;
    }

    /** Records every event from the next one on; null stops the recording. */
    void capture(CaptureRecorder next) {
        driver.capture(next);
    }

    IncrementalSnapshot snapshot() {
        return driver.snapshot();
    }

    /** Returns the number of requests that still wait for their final answer. */
    int unanswered() {
        return requests.unanswered();
    }

    /** Returns whether the request must not be sent, as one of its id is in flight or was perhaps executed. */
    boolean isDuplicate(ClientRequest request) {
        return requests.isDuplicate(request);
    }

    /** Passes a completely received request to the balancer; its deadline is its remaining timeout from now. */
    void dispatch(InFlightRequest inFlight) {
        long now = clock.now();
        inFlight.deadline = now + inFlight.timeout;
        requests.add(inFlight);
        // Ends a request that the balancer has lost, or left unanswered because of a fault.
        inFlight.watchdog = loop.schedule(
                () -> watchdogExpired(inFlight), inFlight.timeout + WATCHDOG_SLACK_NANOS, TimeUnit.NANOSECONDS);
        ClientRequest clientRequest = inFlight.request;
        if (routeSelector.managesVersions() && !acquireRoutes(inFlight)) {
            return;
        }
        inFlight.zoneSelection = zoneRouter == null
                ? null
                : zoneRouter.selectZones(clientRequest, driver.activeRoutes().routes());
        submit(new RequestArrived(
                clientRequest.id(),
                clientRequest.requestClass().name(),
                inFlight.deadline,
                Headers.tenant(clientRequest),
                Headers.hintedCost(clientRequest),
                Headers.isRetry(clientRequest),
                clientRequest.method().name(),
                clientRequest.uri(),
                inFlight.zoneSelection == null ? null : inFlight.zoneSelection.zones()));
    }

    /** Activates the route table for a request that arrives now; returns false if the request is rejected instead. */
    private boolean acquireRoutes(InFlightRequest inFlight) {
        inFlight.routeTable = routeSelector.acquire(inFlight.request);
        if (inFlight.routeTable == null) {
            requests.markFinished(inFlight);
            events.count(NodeEvent.REQUEST_REJECTED, Rejection.VERSION_IN_DOUBT, inFlight.request.id());
            inFlight.client.rejected(
                    limits.retryAfterAllowed() ? Math.min(REJECTION_RETRY_AFTER_NANOS, limits.maxRetryAfter()) : 0);
            removeIfComplete(inFlight);
            return false;
        }
        if (routeSelector.activate(inFlight.routeTable)) {
            RoutingRules rules = inFlight.routeTable.content();
            submit(new RoutesChanged(rules.routes().routes(), rules.routes()));
            zoneRouter.applyRules(rules.locality());
        }
        return true;
    }

    /** Sets the gate that decides from now on which routes are active. */
    void versionGate(RouteVersionGate next) {
        routeSelector.versionGate(next);
    }

    /** Returns the active routes, from which the next version's routes are built. */
    RouteStates activeRoutes() {
        return driver.activeRoutes();
    }

    /** Applies these routes and locality rules to requests that arrive from now on; null for none. */
    void applyRules(RouteTable routes, LocalityRules locality) {
        submit(new RoutesChanged(routes));
        zoneRouter.applyRules(locality);
    }

    /** Sets the router that may select the zones of requests from now on. */
    void zoneRouter(ZoneRouter next) {
        zoneRouter = next;
    }

    /** Returns whether responses report the route version that decided their request. */
    boolean reportsVersion() {
        return routeSelector.reportsVersion();
    }

    void clientDisconnected(InFlightRequest inFlight) {
        if (requests.markFinished(inFlight)) {
            events.count(NodeEvent.CLIENT_DISCONNECTED, inFlight.request.id());
            abandonRequest(inFlight);
        }
    }

    /** Makes the balancer stop work on a request that is answered or no longer needed. */
    private void abandonRequest(InFlightRequest inFlight) {
        submit(new ClientDisconnected(inFlight.request.id()));
        removeIfComplete(inFlight);
    }

    /**
     * Returns whether the attempt is still needed. This is the last check of the client before an attempt starts: the
     * client may have closed its connection without the event loop having seen that. After a stall, a poll may have
     * reported only the request and not the close.
     */
    @Override
    public boolean isAwaited(Attempt attempt) {
        InFlightRequest inFlight = requests.get(attempt.request.id());
        if (!attempt.ended && !inFlight.finished) {
            switch (inFlight.client.presence()) {
                case DISCONNECTED -> clientDisconnected(inFlight);
                case UNKNOWN -> {
                    events.count(NodeEvent.REQUEST_REJECTED, Rejection.UNREAD_INPUT, inFlight.request.id());
                    answerUnserved(inFlight);
                    abandonRequest(inFlight);
                }
                case CONNECTED -> {}
            }
        }
        return !attempt.ended && !inFlight.finished;
    }

    /** Marks the request as answered and returns its client's sink; returns null if it already has its final answer. */
    @Override
    public StreamSink openStream(Attempt attempt) {
        InFlightRequest inFlight = requests.get(attempt.request.id());
        if (!requests.markFinished(inFlight)) {
            return null;
        }
        attempt.streaming = true;
        attempt.stopTimer();
        submit(new ResponseStarted(
                inFlight.request.id(), attempt.number, attempt.endpointId, clock.now() - attempt.sentAt));
        removeIfComplete(inFlight);
        return inFlight.client;
    }

    @Override
    public void ended(Attempt attempt, AttemptOutcome outcome, ServerResponse response) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.outcome = outcome;
        attempt.notExecuted = outcome.notExecuted;
        attempt.transport = null;
        attempt.stopTimer();
        InFlightRequest inFlight = requests.get(attempt.request.id());
        inFlight.attemptsInFlight--;
        if (zoneRouter != null) {
            zoneRouter.attemptEnded(
                    attempt.endpointId,
                    outcome,
                    attempt.sentAt,
                    attempt.request.requestClass().latencyObjective());
        }
        if (outcome == AttemptOutcome.OK && response != null && requests.markFinished(inFlight)) {
            inFlight.client.served(response);
        }
        // Load reports are not forwarded: the balancer does not use them.
        submit(new AttemptEnded(
                inFlight.request.id(),
                attempt.number,
                attempt.endpointId,
                outcome,
                clock.now() - attempt.sentAt,
                inFlight.finished,
                null));
        removeIfComplete(inFlight);
    }

    void endpointsChanged(EndpointUpdateKind kind, List<EndpointEntry> entries) {
        EndpointsChanged event = new EndpointsChanged(kind, entries);
        if (zoneRouter != null) {
            zoneRouter.endpointsChanged(event);
        }
        submit(event);
    }

    private void watchdogExpired(InFlightRequest inFlight) {
        if (requests.markFinished(inFlight)) {
            Log.line("request watchdog expired id=" + inFlight.request.id());
            inFlight.client.failed(true);
            abandonRequest(inFlight);
        }
    }

    /** Answers all in-flight requests, because they cannot be answered any more once the process has ended. */
    void answerAll() {
        List<InFlightRequest> answered =
                requests.all().stream().filter(this::answerUnserved).toList();
        // This comes last because each removal frees capacity for a waiting request, and a request that has been
        // answered must not be sent any more.
        answered.forEach(this::abandonRequest);
    }

    /** Answers a request that is not served any more; returns false if it was answered before. */
    private boolean answerUnserved(InFlightRequest inFlight) {
        boolean unanswered = requests.markFinished(inFlight);
        if (unanswered) {
            inFlight.rejectOrFail();
        }
        return unanswered;
    }

    private void attemptTimedOut(Attempt attempt) {
        // The event loop may not have read the response yet.
        attempt.readPendingInput();
        if (!attempt.ended) {
            // An attempt whose last byte has not been written has not been executed anywhere, so its request may be
            // rejected instead of failed.
            boolean written = attempt.requestWritten;
            connectionPool.abort(attempt);
            ended(attempt, written ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_FAILED, null);
        }
    }

    private void submit(BalancerEvent event) {
        driver.submit(event);
    }

    private void execute(BalancerAction action) {
        if (action instanceof SendAttempt send) {
            send(send);
        } else if (action instanceof ScheduleTimer timer) {
            loop.schedule(() -> submit(new TimerFired(timer.token())), timer.delay(), TimeUnit.NANOSECONDS);
        } else if (action instanceof CancelAttempt cancel) {
            cancel(cancel);
        } else if (action instanceof RejectRequest reject) {
            events.count(NodeEvent.REQUEST_REJECTED, Rejection.ADMISSION, reject.requestId());
            answer(reject.requestId(), inFlight -> inFlight.client.rejected(reject.retryAfter()));
        } else if (action instanceof FailRequest fail) {
            events.count(NodeEvent.REQUEST_FAILED, fail.requestId());
            answer(
                    fail.requestId(),
                    inFlight ->
                            inFlight.client.failed(fail.routeDeadlineExceeded() || clock.now() >= inFlight.deadline));
        } else if (action instanceof RequestZones zoneRequest) {
            assignZones(zoneRequest);
        } else if (action instanceof SubscribeToEndpoints) {
            onSubscribe.run();
        } else if (action instanceof LogMessage message) {
            Log.line(message.text());
        }
    }

    /** Answers the request, unless it has been answered or is no longer in flight. */
    private void answer(String requestId, Consumer<InFlightRequest> response) {
        InFlightRequest inFlight = requests.get(requestId);
        if (inFlight != null && requests.markFinished(inFlight)) {
            response.accept(inFlight);
            removeIfComplete(inFlight);
        }
    }

    private void assignZones(RequestZones zoneRequest) {
        InFlightRequest inFlight = requests.get(zoneRequest.requestId());
        if (inFlight != null && !inFlight.finished) {
            inFlight.zoneSelection = zoneRouter.selectNextZones(inFlight.zoneSelection);
            submit(new ZonesAssigned(zoneRequest.requestId(), inFlight.zoneSelection.zones()));
        }
    }

    private void send(SendAttempt send) {
        InFlightRequest inFlight = requests.get(send.requestId());
        if (inFlight == null) {
            return;
        }
        long now = clock.now();
        events.countRetryOrHedge(inFlight);
        Attempt attempt = inFlight.addAttempt(send.endpointId(), send.timeout(), now);
        if (inFlight.finished || now >= attempt.deadline || attempt.number >= limits.maxAttempts()) {
            ended(attempt, AttemptOutcome.NOT_SENT, null);
            return;
        }
        attempt.timeoutTimer =
                loop.schedule(() -> attemptTimedOut(attempt), attempt.deadline - now, TimeUnit.NANOSECONDS);
        if (zoneRouter != null) {
            zoneRouter.attemptSent(send.endpointId(), inFlight.zoneSelection);
        }
        connectionPool.send(attempt);
    }

    private void cancel(CancelAttempt cancel) {
        InFlightRequest inFlight = requests.get(cancel.requestId());
        if (inFlight == null || cancel.attempt() < 0 || cancel.attempt() >= inFlight.attempts.size()) {
            return;
        }
        Attempt attempt = inFlight.attempts.get(cancel.attempt());
        if (!attempt.ended && !attempt.streaming) {
            connectionPool.abort(attempt);
            ended(attempt, AttemptOutcome.CANCELLED, null);
        }
    }

    /**
     * Ends the unwritten attempts of an answered request if the settings do not let the balancer cancel attempts. For
     * an endpoint, an attempt exists only once its last byte has been written; the last byte of such an attempt must
     * therefore not be written any more.
     */
    private void cancelUnwrittenAttempts(InFlightRequest inFlight) {
        for (int i = 0; i < inFlight.attempts.size() && inFlight.attemptsInFlight > 0; i++) {
            Attempt attempt = inFlight.attempts.get(i);
            if (!attempt.ended && !attempt.requestWritten && !attempt.streaming) {
                connectionPool.abort(attempt);
                ended(attempt, AttemptOutcome.NOT_SENT, null);
            }
        }
    }

    private void removeIfComplete(InFlightRequest inFlight) {
        if (inFlight.finished && !limits.cancellationAllowed()) {
            cancelUnwrittenAttempts(inFlight);
        }
        if (requests.removeIfComplete(inFlight) && inFlight.routeTable != null) {
            routeSelector.release(inFlight.routeTable);
        }
    }
}
