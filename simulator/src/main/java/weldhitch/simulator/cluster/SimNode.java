package weldhitch.simulator.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.balancing.DecisionListener;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.event.ZonesAssigned;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.fleet.locality.CallResult;
import weldhitch.fleet.locality.ZoneEndpoint;
import weldhitch.fleet.locality.ZoneSelection;
import weldhitch.fleet.locality.ZoneSelector;

/**
 * A node without its sockets: passes events to a real {@link RatioBalancer} and executes its actions in virtual
 * time, as the dispatcher of a node does. It also asserts that a request that must not run twice is neither sent
 * again nor rejected once it may have run. Single-threaded, on the event scheduler.
 */
public final class SimNode {
    private final EventScheduler scheduler;
    private final Transport transport;
    private final Function<String, ? extends SimEndpoint> endpointById;
    private final BalancerSettings settings;
    private final DecisionListener decisionListener;
    private final BalancerTap tap;
    private final AttemptListener attemptListener;
    private final Map<String, InFlightRequest> inFlightById = new LinkedHashMap<>();
    private final ArrayDeque<BalancerEvent> eventQueue = new ArrayDeque<>();
    private RatioBalancer balancer;
    /** Decides which zones a request may go to; null without zone routing. */
    private ZoneSelector zoneSelector;

    private UniformRandomProvider zoneRandom;
    private int incarnation;
    private boolean delivering;
    /** Whether the front end sends new requests to this node. */
    boolean acceptsRequests;

    /** Notified of each attempt as it is sent. */
    public interface AttemptListener {
        /**
         * Called once for each attempt.
         *
         * @param crossZone whether the endpoint is in another zone than the node
         */
        void attemptSent(String endpointId, boolean crossZone);
    }

    /** Carries messages between two zones; a message may be lost without notice. */
    public interface Transport {
        /** Runs {@code delivery} when the message arrives; never if it is lost. */
        void deliver(String from, String to, Runnable delivery);
    }

    /** A node's final answer to a request. */
    public enum RequestOutcome {
        SERVED,
        REJECTED,
        FAILED
    }

    /** Receives the final answer of a request. */
    public interface ResponseListener {
        /**
         * Called once for each request.
         *
         * @param retryAfter time after which the client may retry, in nanoseconds; 0 for none
         */
        void onResponse(RequestOutcome outcome, long retryAfter);
    }

    /** An attempt that was sent. */
    private static final class SentAttempt {
        final String endpointId;
        final long sentAt;
        boolean ended;

        SentAttempt(String endpointId, long sentAt) {
            this.endpointId = endpointId;
            this.sentAt = sentAt;
        }
    }

    /** A request at this node, until its final answer is given and no attempt is in flight. */
    private static final class InFlightRequest {
        final String id;
        final SimCall call;
        final long deadline;
        final ResponseListener responseListener;
        final List<SentAttempt> attempts = new ArrayList<>();
        /** Zones that it may be sent to; null for any. */
        final List<String> allowedZones;

        ZoneSelection zoneSelection;
        final boolean nonIdempotent;
        /** Attempts that were executed or may have been. */
        int possibleExecutions;

        boolean finished;

        InFlightRequest(
                String id,
                SimCall call,
                long deadline,
                List<String> allowedZones,
                boolean nonIdempotent,
                ResponseListener responseListener) {
            this.allowedZones = allowedZones;
            this.id = id;
            this.call = call;
            this.deadline = deadline;
            this.nonIdempotent = nonIdempotent;
            this.responseListener = responseListener;
        }
    }

    /**
     * Creates a node that is not started yet.
     *
     * @param endpointById returns the endpoint for an id; must know every id that the balancer receives
     * @param decisionListener receives the reasons of decisions; null for none
     * @param tap receives every event of the balancer; null for none
     */
    public SimNode(
            EventScheduler scheduler,
            Transport transport,
            Function<String, ? extends SimEndpoint> endpointById,
            BalancerSettings settings,
            DecisionListener decisionListener,
            BalancerTap tap,
            AttemptListener attemptListener) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.endpointById = endpointById;
        this.settings = settings;
        this.decisionListener = decisionListener;
        this.tap = tap;
        this.attemptListener = attemptListener;
    }

    String zone() {
        return settings.zone();
    }

    /** Starts a new incarnation, which keeps nothing that the previous one had learned. */
    void start(long seed, RouteTable routes, List<EndpointEntry> cachedEntries) {
        startBalancer(new RatioBalancer(settings, seed).snapshot());
        if (routes != null) {
            submit(new RoutesChanged(routes));
        }
        submit(new EndpointsChanged(EndpointUpdateKind.CACHED, cachedEntries));
    }

    private void startBalancer(BalancerSnapshot snapshot) {
        incarnation++;
        balancer = RatioBalancer.restore(settings, snapshot, decisionListener);
        acceptsRequests = true;
        if (tap != null) {
            tap.onStart(settings, balancer::snapshot);
        }
    }

    /**
     * Continues from a snapshot, with the requests in it. Attempts that were in flight end when {@link #attemptEnded}
     * reports their outcome, or at the deadline of their request.
     */
    public void resume(BalancerSnapshot snapshot, ResponseListener responseListener) {
        startBalancer(snapshot);
        for (BalancerSnapshot.RequestSnapshot savedRequest : snapshot.requests()) {
            RequestClass requestClass = settings.classes().stream()
                    .filter(c -> c.name().equals(savedRequest.requestClass()))
                    .findFirst()
                    .orElse(null);
            InFlightRequest request = new InFlightRequest(
                    savedRequest.id(),
                    new SimCall(savedRequest.requestClass(), 1, 0),
                    savedRequest.deadline(),
                    savedRequest.allowedZones(),
                    requestClass == null || requestClass.idempotency() == Idempotency.NON_IDEMPOTENT,
                    responseListener);
            request.finished = savedRequest.finished();
            for (BalancerSnapshot.AttemptSnapshot savedAttempt : savedRequest.attempts()) {
                int attemptIndex = request.attempts.size();
                request.attempts.add(new SentAttempt(
                        snapshot.endpoints().get(savedAttempt.endpoint()).id(), savedAttempt.sentAt()));
                request.attempts.get(attemptIndex).ended = savedAttempt.ended();
                request.possibleExecutions += savedAttempt.ended() && savedAttempt.notExecuted() ? 0 : 1;
                if (!savedAttempt.ended()) {
                    scheduleForThisIncarnation(
                            savedRequest.deadline() - scheduler.now(),
                            () -> endAttempt(request, attemptIndex, AttemptOutcome.TIMED_OUT));
                }
            }
            inFlightById.put(request.id, request);
            removeIfComplete(request);
        }
        if (snapshot.timerArmedAt() < Long.MAX_VALUE) {
            scheduleForThisIncarnation(snapshot.timerArmedAt() - scheduler.now(), () -> submit(new TimerFired("due")));
        }
    }

    /** Reports the outcome of an attempt that was in flight when this node continued from a snapshot. */
    public void attemptEnded(String requestId, int attemptIndex, AttemptOutcome outcome) {
        InFlightRequest request = inFlightById.get(requestId);
        if (request != null && attemptIndex < request.attempts.size()) {
            endAttempt(request, attemptIndex, outcome);
        }
    }

    /** Delivers an update of the endpoint list or of the routes. */
    public void onUpdate(BalancerEvent update) {
        submit(update);
    }

    /** Stops the node; all its in-flight requests are lost. */
    void stop() {
        incarnation++;
        balancer = null;
        acceptsRequests = false;
        inFlightById.clear();
    }

    /**
     * Sets the selector that decides from now on which zones requests may go to; it also receives every update of
     * the endpoint list.
     */
    void selectZonesWith(ZoneSelector selector, UniformRandomProvider random) {
        zoneSelector = selector;
        zoneRandom = random;
    }

    /** Converts endpoint list entries to those that the locality rules use. */
    static List<ZoneEndpoint> toZoneEndpoints(List<EndpointEntry> entries) {
        return entries.stream()
                .map(e -> new ZoneEndpoint(
                        e.endpointId(),
                        e.zone(),
                        e.weight(),
                        e.startedAt(),
                        e.state() == EndpointState.READY,
                        e.state() == EndpointState.REMOVED))
                .toList();
    }

    /** Delivers changes of the endpoint list; the zone selector receives them even while the node is stopped. */
    void onUpdate(List<EndpointEntry> changes) {
        if (zoneSelector != null) {
            zoneSelector.updateEndpoints(false, toZoneEndpoints(changes), scheduler.now());
        }
        if (balancer != null) {
            submit(new EndpointsChanged(EndpointUpdateKind.DELTA, changes));
        }
    }

    /**
     * Handles a client's request.
     *
     * @param nonIdempotent whether it must never run twice
     */
    public void dispatch(
            RequestArrived arrival, boolean nonIdempotent, SimCall call, ResponseListener responseListener) {
        if (inFlightById.containsKey(arrival.requestId())) {
            submit(arrival);
            return;
        }
        ZoneSelection selection = zoneSelector == null
                ? null
                : zoneSelector.select(
                        arrival.requestClass(), arrival.tenant(), null, zoneRandom.nextDouble(), scheduler.now());
        RequestArrived arrivalWithZones = selection == null
                ? arrival
                : new RequestArrived(
                        arrival.requestId(),
                        arrival.requestClass(),
                        arrival.deadline(),
                        arrival.tenant(),
                        arrival.cost(),
                        arrival.clientRetry(),
                        arrival.method(),
                        arrival.target(),
                        selection.zones());
        InFlightRequest request = new InFlightRequest(
                arrival.requestId(),
                call,
                arrival.deadline(),
                arrivalWithZones.allowedZones(),
                nonIdempotent,
                responseListener);
        request.zoneSelection = selection;
        inFlightById.put(request.id, request);
        int originalIncarnation = incarnation;
        scheduler.schedule(request.deadline - scheduler.now() + settings.rules().answerGracePeriod(), () -> {
            if (originalIncarnation == incarnation && !request.finished) {
                throw new AssertionError("no final answer for request " + request.id + " of " + arrival.requestClass());
            }
        });
        submit(arrivalWithZones);
    }

    /** Reports that the client has abandoned the request. */
    public void clientDisconnected(String requestId) {
        InFlightRequest request = inFlightById.get(requestId);
        if (request != null && !request.finished) {
            request.finished = true;
            submit(new ClientDisconnected(requestId));
            removeIfComplete(request);
        }
    }

    private void submit(BalancerEvent event) {
        eventQueue.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        for (BalancerEvent nextEvent = eventQueue.poll(); nextEvent != null; nextEvent = eventQueue.poll()) {
            long now = scheduler.now();
            if (tap != null) {
                tap.beforeEvent(now);
            }
            List<BalancerAction> actions = balancer.handle(now, nextEvent);
            if (tap != null) {
                tap.onEvent(now, nextEvent, actions);
            }
            actions.forEach(this::execute);
        }
        delivering = false;
    }

    private void execute(BalancerAction action) {
        if (action instanceof SendAttempt send) {
            send(send);
        } else if (action instanceof ScheduleTimer timer) {
            scheduleForThisIncarnation(timer.delay(), () -> submit(new TimerFired(timer.token())));
        } else if (action instanceof CancelAttempt cancel) {
            endAttempt(inFlightById.get(cancel.requestId()), cancel.attempt(), AttemptOutcome.CANCELLED);
        } else if (action instanceof RejectRequest reject) {
            InFlightRequest request = inFlightById.get(reject.requestId());
            if (request != null && request.nonIdempotent && request.possibleExecutions > 0) {
                throw new AssertionError("non-idempotent request rejected after it may have run: " + request.id);
            }
            complete(request, RequestOutcome.REJECTED, reject.retryAfter());
        } else if (action instanceof RequestZones zoneRequest) {
            InFlightRequest request = inFlightById.get(zoneRequest.requestId());
            if (request != null && !request.finished) {
                if (request.zoneSelection != null) {
                    request.zoneSelection = zoneSelector.selectNext(request.zoneSelection, scheduler.now());
                }
                submit(new ZonesAssigned(
                        zoneRequest.requestId(),
                        request.zoneSelection == null ? request.allowedZones : request.zoneSelection.zones()));
            }
        } else if (action instanceof FailRequest fail) {
            complete(inFlightById.get(fail.requestId()), RequestOutcome.FAILED, 0);
        }
    }

    private void scheduleForThisIncarnation(long delay, Runnable task) {
        int originalIncarnation = incarnation;
        scheduler.schedule(delay, () -> {
            if (originalIncarnation == incarnation) {
                task.run();
            }
        });
    }

    private void complete(InFlightRequest request, RequestOutcome outcome, long retryAfter) {
        if (request != null && !request.finished) {
            request.finished = true;
            request.responseListener.onResponse(outcome, retryAfter);
            removeIfComplete(request);
        }
    }

    private void send(SendAttempt send) {
        InFlightRequest request = inFlightById.get(send.requestId());
        int attemptIndex = request.attempts.size();
        request.attempts.add(new SentAttempt(send.endpointId(), scheduler.now()));
        if (request.nonIdempotent && request.possibleExecutions > 0) {
            throw new AssertionError("non-idempotent request sent again after it may have run: " + request.id);
        }
        request.possibleExecutions++;
        long sentAt = scheduler.now();
        long attemptDeadline =
                send.timeout() > 0 ? Math.min(request.deadline, sentAt + send.timeout()) : request.deadline;
        scheduleForThisIncarnation(
                attemptDeadline - sentAt, () -> endAttempt(request, attemptIndex, AttemptOutcome.TIMED_OUT));
        SimEndpoint endpoint = endpointById.apply(send.endpointId());
        String zone = endpoint.zone();
        attemptListener.attemptSent(send.endpointId(), !zone.equals(zone()));
        if (zoneSelector != null) {
            zoneSelector.onAttemptSent(send.endpointId(), request.zoneSelection, sentAt);
        }
        int originalIncarnation = incarnation;
        transport.deliver(
                zone(),
                zone,
                () -> endpoint.handle(
                        request.call,
                        outcome -> transport.deliver(zone, zone(), () -> {
                            if (originalIncarnation == incarnation) {
                                endAttempt(request, attemptIndex, outcome);
                            }
                        })));
    }

    private void endAttempt(InFlightRequest request, int attemptIndex, AttemptOutcome outcome) {
        if (request == null || request.attempts.get(attemptIndex).ended) {
            return;
        }
        SentAttempt attempt = request.attempts.get(attemptIndex);
        attempt.ended = true;
        if (outcome.notExecuted) {
            request.possibleExecutions--;
        }
        if (zoneSelector != null && outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT) {
            long latencyObjective = settings.classes().stream()
                    .filter(c -> c.name().equals(request.call.requestClass()))
                    .mapToLong(RequestClass::latencyObjective)
                    .findFirst()
                    .orElse(0);
            zoneSelector.onAttemptEnded(
                    attempt.endpointId,
                    outcome == AttemptOutcome.FULL
                            ? CallResult.REJECTED
                            : outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR
                                    ? CallResult.ANSWERED
                                    : CallResult.FAILED,
                    latencyObjective > 0 && scheduler.now() - attempt.sentAt > latencyObjective,
                    attempt.sentAt,
                    scheduler.now());
        }
        if (outcome == AttemptOutcome.OK) {
            complete(request, RequestOutcome.SERVED, 0);
        }
        submit(new AttemptEnded(
                request.id,
                attemptIndex,
                attempt.endpointId,
                outcome,
                scheduler.now() - attempt.sentAt,
                request.finished,
                null));
        removeIfComplete(request);
    }

    private void removeIfComplete(InFlightRequest request) {
        if (request.finished && request.attempts.stream().allMatch(s -> s.ended)) {
            inFlightById.remove(request.id);
        }
    }
}
