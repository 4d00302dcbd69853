package weldhitch.replay.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.ZonesAssigned;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.PlatformRules;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * Checks that the events and actions of a node satisfy four invariants.
 *
 * <ul>
 *   <li>Each request gets one final answer within its deadline, and no attempt is sent after it.
 *   <li>No request takes effect twice.
 *   <li>No attempt is sent to a draining or removed endpoint after the grace period.
 *   <li>No endpoint is overloaded while it is warming up.
 * </ul>
 *
 * <p>It also checks that a request with allowed zones is not sent to another zone. The checker uses only events and
 * actions, independently of how decisions are made. It checks one node, so it does not see the load that several nodes
 * together send to an endpoint that is warming up. Times are nanoseconds. Not thread-safe.
 */
public final class InvariantChecker {
    /** Added to each time limit to allow for delays on real sockets, in nanoseconds. */
    private static final long TIMING_TOLERANCE = 50_000_000L;

    /** The four invariants, and the operator's rule on allowed zones. */
    public enum Invariant {
        ONE_ANSWER("one answer"),
        NO_EFFECT_TWICE("no effect twice"),
        DRAIN("drain"),
        SLOW_START("cold"),
        ZONE("zone");

        private final String label;

        Invariant(String label) {
            this.label = label;
        }

        /** Returns the name in reports. Scripts read the name, so it never changes. */
        public String label() {
            return label;
        }
    }

    /**
     * A violation of an invariant. Immutable.
     *
     * @param invariant the violated invariant
     * @param timestamp the node's clock, in nanoseconds
     * @param subject the id of the request or of the endpoint
     * @param description the description for people
     */
    public record Violation(Invariant invariant, long timestamp, String subject, String description) {}

    /** One attempt of a tracked request. */
    private static final class TrackedAttempt {
        final TrackedEndpoint endpoint;
        final long sentAt;
        boolean ended;
        boolean notExecuted;

        TrackedAttempt(TrackedEndpoint endpoint, long sentAt) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }

        boolean mayHaveExecuted() {
            return !notExecuted;
        }
    }

    /** A request whose final answer or attempts are outstanding. */
    private static final class TrackedRequest {
        final String id;
        final RequestClass requestClass;
        final long deadline;
        final List<TrackedAttempt> attempts = new ArrayList<>();
        /** The zones to whose endpoints the request may be sent; null for any. */
        List<String> allowedZones;

        boolean finished;

        TrackedRequest(String id, RequestClass requestClass, long deadline) {
            this.id = id;
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        boolean hasOutstandingAttempt() {
            return attempts.stream().anyMatch(t -> !t.ended);
        }

        TrackedAttempt firstPossiblyExecuted() {
            return attempts.stream()
                    .filter(TrackedAttempt::mayHaveExecuted)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** One incarnation of an endpoint, as described by the endpoint lists. */
    private static final class TrackedEndpoint {
        final String id;
        final String zone;
        final long cell;
        final long startedAt;
        double weight;
        EndpointState state;
        long stateSince;
        /** The times of the attempts sent to the endpoint within the window of the slow-start invariant. */
        final ArrayDeque<Long> recentSends = new ArrayDeque<>();

        boolean overloadReported;

        TrackedEndpoint(String id, String zone, long cell, long startedAt) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
            this.startedAt = startedAt;
        }
    }

    private BalancerSettings settings;
    private final Map<String, RequestClass> classesByName = new LinkedHashMap<>();
    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    private final PriorityQueue<TrackedRequest> byDeadline =
            new PriorityQueue<>((a, b) -> Long.compare(a.deadline, b.deadline));
    private final Map<String, TrackedEndpoint> endpoints = new LinkedHashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private long answered;
    private long now;

    /** Starts checking with a snapshot's open requests and listed endpoints; earlier events are not checked. */
    public void start(long timestamp, BalancerSettings newSettings, BalancerSnapshot snapshot) {
        now = timestamp;
        settings = newSettings;
        classesByName.clear();
        newSettings.classes().forEach(c -> classesByName.put(c.name(), c));
        requests.clear();
        byDeadline.clear();
        endpoints.clear();
        List<TrackedEndpoint> endpointsByIndex = new ArrayList<>();
        for (BalancerSnapshot.EndpointSnapshot endpointSnapshot : snapshot.endpoints()) {
            TrackedEndpoint endpoint = new TrackedEndpoint(
                    endpointSnapshot.id(),
                    snapshot.zones().get(endpointSnapshot.zone()).name(),
                    endpointSnapshot.cell(),
                    endpointSnapshot.startedAt());
            endpoint.weight = endpointSnapshot.weight();
            endpoint.state = endpointSnapshot.state();
            endpoint.stateSince = timestamp;
            endpointsByIndex.add(endpoint);
            if (endpointSnapshot.listed()) {
                endpoints.put(endpoint.id, endpoint);
            }
        }
        for (BalancerSnapshot.RequestSnapshot requestSnapshot : snapshot.requests()) {
            TrackedRequest request =
                    track(requestSnapshot.id(), requestSnapshot.requestClass(), requestSnapshot.deadline());
            request.finished = requestSnapshot.finished();
            request.allowedZones = requestSnapshot.allowedZones();
            for (BalancerSnapshot.AttemptSnapshot attemptSnapshot : requestSnapshot.attempts()) {
                TrackedAttempt attempt =
                        new TrackedAttempt(endpointsByIndex.get(attemptSnapshot.endpoint()), attemptSnapshot.sentAt());
                attempt.ended = attemptSnapshot.ended();
                attempt.notExecuted = attemptSnapshot.notExecuted();
                request.attempts.add(attempt);
            }
        }
    }

    private TrackedRequest track(String id, String requestClass, long deadline) {
        RequestClass knownClass = classesByName.get(requestClass);
        TrackedRequest request = new TrackedRequest(
                id,
                knownClass != null
                        ? knownClass
                        : new RequestClass(
                                "", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 0, 0, 0, 1, 0, false),
                deadline);
        requests.put(id, request);
        byDeadline.add(request);
        return request;
    }

    /** Checks one event and the actions decided on it. Must be called in the order of the events. */
    public void onEvent(long timestamp, BalancerEvent event, List<BalancerAction> actions) {
        now = timestamp;
        if (event instanceof RequestArrived e) {
            if (!requests.containsKey(e.requestId())) {
                track(e.requestId(), e.requestClass(), e.deadline()).allowedZones = e.allowedZones();
            }
        } else if (event instanceof ZonesAssigned e) {
            TrackedRequest request = requests.get(e.requestId());
            if (request != null && !request.hasOutstandingAttempt()) {
                request.allowedZones = e.zones();
            }
        } else if (event instanceof EndpointsChanged e) {
            onEndpointsChanged(e);
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof ResponseStarted e) {
            onFinalAnswer(requests.get(e.requestId()), "a response began");
        } else if (event instanceof ClientDisconnected e) {
            TrackedRequest request = requests.get(e.requestId());
            if (request != null) {
                request.finished = true;
                removeIfComplete(request);
            }
        }
        for (BalancerAction action : actions) {
            onAction(action);
        }
        checkDeadlines();
    }

    private void onEndpointsChanged(EndpointsChanged changed) {
        if (changed.kind() == EndpointUpdateKind.REJECTED) {
            return;
        }
        if (changed.kind() != EndpointUpdateKind.DELTA) {
            List<String> listedIds =
                    changed.entries().stream().map(EndpointEntry::endpointId).toList();
            for (TrackedEndpoint endpoint : endpoints.values()) {
                if (!listedIds.contains(endpoint.id)) {
                    updateState(endpoint, EndpointState.REMOVED);
                }
            }
        }
        for (EndpointEntry entry : changed.entries()) {
            TrackedEndpoint endpoint = endpoints.get(entry.endpointId());
            if (endpoint == null || endpoint.startedAt != entry.startedAt()) {
                endpoint = new TrackedEndpoint(
                        entry.endpointId(), String.valueOf(entry.zone()), entry.cell(), entry.startedAt());
                endpoints.put(entry.endpointId(), endpoint);
            }
            endpoint.weight = entry.weight() > 0 ? entry.weight() : 1;
            updateState(endpoint, entry.state());
        }
    }

    private void updateState(TrackedEndpoint endpoint, EndpointState newState) {
        if (endpoint.state != newState
                && !(endpoint.state != EndpointState.READY
                        && endpoint.state != null
                        && newState != EndpointState.READY)) {
            endpoint.stateSince = now;
        }
        endpoint.state = newState;
    }

    private void onAttemptEnded(AttemptEnded e) {
        TrackedRequest request = requests.get(e.requestId());
        if (request == null || e.attempt() < 0 || e.attempt() >= request.attempts.size()) {
            return;
        }
        TrackedAttempt attempt = request.attempts.get(e.attempt());
        attempt.ended = true;
        attempt.notExecuted = e.outcome().notExecuted;
        if (e.requestFinished() && !request.finished) {
            onFinalAnswer(request, "it was served");
        }
        removeIfComplete(request);
    }

    /** Records the final answer of a request; {@code answer} describes it in the text of a violation. */
    private void onFinalAnswer(TrackedRequest request, String answer) {
        if (request == null) {
            return;
        }
        if (request.finished) {
            report(Invariant.ONE_ANSWER, request.id, answer + " after its final answer");
        } else if (now > request.deadline + settings.rules().answerGracePeriod() + TIMING_TOLERANCE) {
            report(
                    Invariant.ONE_ANSWER,
                    request.id,
                    answer + " " + millis(now - request.deadline) + " after its deadline");
        }
        request.finished = true;
        answered++;
        removeIfComplete(request);
    }

    private void removeIfComplete(TrackedRequest request) {
        if (request.finished && !request.hasOutstandingAttempt()) {
            requests.remove(request.id);
        }
    }

    private void checkDeadlines() {
        while (!byDeadline.isEmpty()
                && byDeadline.peek().deadline + settings.rules().answerGracePeriod() + TIMING_TOLERANCE < now) {
            TrackedRequest request = byDeadline.poll();
            if (!request.finished) {
                report(
                        Invariant.ONE_ANSWER,
                        request.id,
                        "has no final answer " + millis(now - request.deadline) + " after its deadline");
                request.finished = true;
                removeIfComplete(request);
            }
        }
    }

    private void onAction(BalancerAction action) {
        if (action instanceof SendAttempt send) {
            onSend(send);
        } else if (action instanceof RejectRequest rejection) {
            TrackedRequest request = requests.get(rejection.requestId());
            TrackedAttempt executed = request == null ? null : request.firstPossiblyExecuted();
            if (executed != null
                    && request.requestClass.idempotency() != Idempotency.IDEMPOTENT
                    && !(request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                            && request.requestClass.deduplicationScope() == DeduplicationScope.ALL)) {
                report(
                        Invariant.NO_EFFECT_TWICE,
                        rejection.requestId(),
                        "rejected although it may have run at " + executed.endpoint.id);
            }
            onFinalAnswer(request, "it was rejected");
        } else if (action instanceof FailRequest fail) {
            onFinalAnswer(requests.get(fail.requestId()), "it failed");
        }
    }

    private void onSend(SendAttempt send) {
        TrackedRequest request = requests.get(send.requestId());
        TrackedEndpoint endpoint = endpoints.get(send.endpointId());
        if (request == null || request.finished) {
            report(Invariant.ONE_ANSWER, send.requestId(), "sent to " + send.endpointId() + " after its final answer");
            return;
        }
        if (endpoint == null) {
            report(Invariant.DRAIN, send.endpointId(), "was sent an attempt although no endpoint list contains it");
            return;
        }
        checkRepeatedSend(request, endpoint);
        if (request.allowedZones != null && !request.allowedZones.contains(endpoint.zone)) {
            report(
                    Invariant.ZONE,
                    request.id,
                    "sent to " + endpoint.id + " of zone " + endpoint.zone + ", but its allowed zones are "
                            + String.join(", ", request.allowedZones));
        }
        if (endpoint.state != EndpointState.READY
                && now - endpoint.stateSince > settings.rules().drainGracePeriod() + TIMING_TOLERANCE) {
            report(
                    Invariant.DRAIN,
                    endpoint.id,
                    "was sent " + request.id + " " + millis(now - endpoint.stateSince)
                            + " after it stopped being ready; it is "
                            + (endpoint.state == EndpointState.REMOVED ? "removed" : "draining"));
        }
        request.attempts.add(new TrackedAttempt(endpoint, now));
        endpoint.recentSends.addLast(now);
        checkSlowStartLoad(endpoint);
    }

    private void checkRepeatedSend(TrackedRequest request, TrackedEndpoint endpoint) {
        TrackedAttempt executed = request.firstPossiblyExecuted();
        if (request.hasOutstandingAttempt() && !settings.limits().hedgingAllowed()) {
            report(
                    Invariant.NO_EFFECT_TWICE,
                    request.id,
                    "sent twice at the same time, which the platform does not allow");
        } else if (executed != null && request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            report(
                    Invariant.NO_EFFECT_TWICE,
                    request.id,
                    "sent again to " + endpoint.id + " although it may have run at " + executed.endpoint.id);
        } else if (executed != null && request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            boolean inScope = switch (request.requestClass.deduplicationScope()) {
                case ALL -> true;
                case ZONE -> endpoint.zone.equals(executed.endpoint.zone);
                case CELL -> endpoint.cell == executed.endpoint.cell && endpoint.zone.equals(executed.endpoint.zone);
            };
            if (!inScope || now > executed.sentAt + request.requestClass.deduplicationWindow() + TIMING_TOLERANCE) {
                report(
                        Invariant.NO_EFFECT_TWICE,
                        request.id,
                        "sent again to " + endpoint.id
                                + (inScope
                                        ? " after its deduplication window"
                                        : ", which is outside its deduplication scope"));
            }
        }
    }

    /**
     * Checks the load of an endpoint that is warming up. Within the overload window it may receive the configured
     * multiple of the attempts that warmed-up endpoints of the same weight receive, scaled to its present capacity,
     * plus a margin for random variation. Without a warmed-up endpoint there is no reference, so nothing is reported.
     */
    private void checkSlowStartLoad(TrackedEndpoint endpoint) {
        PlatformRules rules = settings.rules();
        if (endpoint.overloadReported
                || endpoint.startedAt <= 0
                || now - endpoint.startedAt >= rules.slowStartWindow()) {
            return;
        }
        double warmedUpSends = 0;
        double warmedUpWeight = 0;
        for (TrackedEndpoint other : endpoints.values()) {
            while (!other.recentSends.isEmpty() && other.recentSends.peekFirst() < now - rules.overloadWindow()) {
                other.recentSends.removeFirst();
            }
            boolean warmedUp = other.startedAt <= 0 || now - other.startedAt >= rules.slowStartWindow();
            if (warmedUp && other.state == EndpointState.READY) {
                warmedUpSends += other.recentSends.size();
                warmedUpWeight += other.weight;
            }
        }
        double capacity = rules.initialCapacity()
                + (1 - rules.initialCapacity()) * (now - endpoint.startedAt) / rules.slowStartWindow();
        double allowed = rules.overloadMultiple() * capacity * endpoint.weight * warmedUpSends / warmedUpWeight;
        if (warmedUpWeight > 0 && endpoint.recentSends.size() > allowed + 4 + 2 * Math.sqrt(allowed)) {
            endpoint.overloadReported = true;
            report(
                    Invariant.SLOW_START,
                    endpoint.id,
                    "was sent " + endpoint.recentSends.size() + " attempts within " + millis(rules.overloadWindow())
                            + " at " + Math.round(100 * capacity) + "% of its capacity, but only " + Math.round(allowed)
                            + " are allowed");
        }
    }

    private void report(Invariant invariant, String subject, String description) {
        violations.add(new Violation(invariant, now, subject, description));
    }

    private static String millis(long nanos) {
        return nanos / 1_000_000 + " ms";
    }

    /** Returns the violations in the order in which they were detected. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of requests that have received their final answer. */
    public long answered() {
        return answered;
    }

    /** Returns the number of requests without a final answer whose deadline has not passed. */
    public long openRequests() {
        return requests.values().stream().filter(r -> !r.finished).count();
    }
}
