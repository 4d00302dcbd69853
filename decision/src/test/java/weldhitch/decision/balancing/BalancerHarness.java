package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.PlatformLimits;
import weldhitch.decision.settings.PlatformRules;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.settings.WeightKind;

/** A balancer under test with default settings and a manual clock. Single-threaded. */
public final class BalancerHarness {
    public static final long MS = 1_000_000L;
    public static final long SECOND = 1000 * MS;

    final RatioBalancer balancer;
    long now = 100 * SECOND;

    BalancerHarness(BalancerSettings settings, long seed) {
        balancer = new RatioBalancer(settings, seed);
    }

    public static RequestClass requestClass(String name, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(name, idempotency, scope, 2 * SECOND, 400 * MS, 0, 2 * SECOND, 1, 0.5, false);
    }

    public static BalancerSettings settings(RequestClass... classes) {
        return settings(new PlatformLimits(4, true, true, false, true, SECOND, 100 * MS), classes);
    }

    static BalancerSettings settings(PlatformLimits limits, RequestClass... classes) {
        return new BalancerSettings(
                "east",
                List.of("east", "west"),
                0,
                0,
                2,
                List.of(classes),
                List.of(),
                1,
                false,
                false,
                WeightKind.NONE,
                List.of(),
                0,
                2 * MS,
                limits,
                new PlatformRules(0.2, 10 * SECOND, 3, 2 * SECOND, SECOND, 10 * MS, 10 * SECOND));
    }

    static BalancerHarness withDefaultSettings() {
        BalancerHarness harness = new BalancerHarness(
                settings(
                        requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        requestClass("write", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
                        requestClass("put", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL)),
                7);
        return harness;
    }

    BalancerHarness withEndpoints(String... endpointIds) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String endpointId : endpointIds) {
            entries.add(entry(endpointId, EndpointState.READY, 0));
        }
        handle(new EndpointsChanged(EndpointUpdateKind.FULL, entries));
        return this;
    }

    EndpointEntry entry(String endpointId, EndpointState state, long startedAt) {
        return new EndpointEntry(endpointId, "east", endpointId.charAt(0), state, 1, startedAt);
    }

    List<BalancerAction> applyDelta(EndpointEntry... entries) {
        return handle(new EndpointsChanged(EndpointUpdateKind.DELTA, Arrays.asList(entries)));
    }

    List<BalancerAction> handle(BalancerEvent event) {
        return balancer.handle(now, event);
    }

    List<BalancerAction> sendRequest(String requestId, String requestClass) {
        return handle(new RequestArrived(requestId, requestClass, now + 2 * SECOND, null, 0, false));
    }

    List<BalancerAction> endAttempt(
            String requestId, int attempt, String endpointId, AttemptOutcome outcome, long latency) {
        return handle(
                new AttemptEnded(requestId, attempt, endpointId, outcome, latency, outcome == AttemptOutcome.OK, null));
    }

    /** Returns the endpoint to which the actions send an attempt, or null if they send none. */
    static String chosenEndpoint(List<BalancerAction> actions) {
        return single(actions, SendAttempt.class).map(SendAttempt::endpointId).orElse(null);
    }

    static <T extends BalancerAction> java.util.Optional<T> single(List<BalancerAction> actions, Class<T> kind) {
        List<T> found =
                actions.stream().filter(kind::isInstance).map(kind::cast).toList();
        if (found.size() > 1) {
            throw new AssertionError("more than one " + kind.getSimpleName() + ": " + actions);
        }
        return found.stream().findFirst();
    }

    /** Advances the clock to the timer that the actions schedule, and fires it. */
    List<BalancerAction> fireTimer(List<BalancerAction> actions) {
        now += single(actions, ScheduleTimer.class).orElseThrow().delay();
        return handle(new TimerFired("due"));
    }

    /** Sends a request, completes it with this latency in nanoseconds, and returns the endpoint that served it. */
    String serveRequest(String requestId, long latency) {
        String endpointId = chosenEndpoint(sendRequest(requestId, "read"));
        endAttempt(requestId, 0, endpointId, AttemptOutcome.OK, latency);
        return endpointId;
    }
}
