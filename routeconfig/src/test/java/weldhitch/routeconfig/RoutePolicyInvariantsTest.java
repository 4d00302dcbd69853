package weldhitch.routeconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.statistics.Statistics;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.settings.BalancerSettings;

/**
 * Property test: the balancer's invariants hold for any valid file and any outcomes of attempts. No non-idempotent
 * request may run twice, and no request outlives its deadline.
 */
class RoutePolicyInvariantsTest {
    private static final long MS = 1_000_000L;

    @Provide
    Arbitrary<String> files() {
        Arbitrary<String> route = section(true);
        return Combinators.combine(section(true), section(true), section(false), route, route)
                .as((defaults, read, book, firstRoute, secondRoute) ->
                        "version = 1\n[defaults]\n" + defaults + "[class.read]\n" + read + "[class.book]\n" + book
                                + "[[route]]\nname = \"one\"\npath = \"/read/{id}\"\n" + firstRoute
                                + "[[route]]\nname = \"other\"\nmethod = \"POST\"\n" + secondRoute + "# end\n");
    }

    private static Arbitrary<String> section(boolean idempotent) {
        String notExecutedOutcomes = "[\"connect-failed\"]";
        return Combinators.combine(
                        Arbitraries.of("", "deadline = \"300ms\"\n", "deadline = \"1s\"\n", "deadline = \"7s\"\n"),
                        Arbitraries.of("", "attempt-timeout = \"40ms\"\n", "attempt-timeout = \"200ms\"\n"),
                        Arbitraries.of("", "attempts = 1\n", "attempts = 2\n", "attempts = 4\n"),
                        Arbitraries.of(
                                "",
                                "backoff = { base = \"1ms\", max = \"30ms\" }\n",
                                "backoff = { base = \"20ms\", max = \"20ms\" }\n"),
                        Arbitraries.of(
                                "",
                                "retry-on = "
                                        + (idempotent ? "[\"reset\", \"timed-out\", \"error\"]" : notExecutedOutcomes)
                                        + "\n"),
                        Arbitraries.of("", "budget = { share = 0.5, floor = 1 }\n", "budget = { share = 10 }\n"),
                        idempotent
                                ? Arbitraries.of(
                                        "",
                                        "hedge = { after = \"5ms\" }\n",
                                        "hedge = \"off\"\n",
                                        "hedge = { percentile = 50 }\n")
                                : Arbitraries.of("", "hedge = \"off\"\n"),
                        Arbitraries.of("", "tenants = { clinic-a = 3, \"*\" = 20 }\n"))
                .as((deadline, attemptTimeout, attempts, backoff, retryOn, budget, hedge, tenants) ->
                        deadline + attemptTimeout + attempts + backoff + retryOn + budget + hedge + tenants);
    }

    /** The state that the test tracks for one request. */
    private static final class TrackedRequest {
        String requestClass;
        long deadline;
        RoutePolicy policy;
        int attempts;
        int possibleExecutions;
        int inFlight;
        boolean answered;
    }

    @Property(tries = 400, seed = "20261201")
    void noRequestExecutesTwiceOrOutlivesItsDeadline(@ForAll("files") String text, @ForAll long seed) {
        BalancerSettings platform = TestPlatforms.platform();
        RouteConfig config = RouteConfig.parse("any.toml", text.getBytes(StandardCharsets.UTF_8), platform);
        Statistics.label("usable")
                .collect(config.isUsable())
                .coverage(c -> c.check(true).percentage(p -> p > 20));
        if (!config.isUsable()) {
            // A file with contradictory settings is never activated; the platform's settings apply instead.
            assertTrue(
                    config.errors().stream().allMatch(p -> p.line() > 0),
                    config.problems().toString());
            return;
        }
        simulate(config, platform, new SplittableRandom(seed));
    }

    private final Map<String, TrackedRequest> requests = new HashMap<>();
    /** The outstanding attempts, each as request id, attempt number and endpoint id. */
    private final List<Object[]> outstandingAttempts = new ArrayList<>();

    private long now = 1_000_000_000_000L;
    private long timerAt = Long.MAX_VALUE;

    private void simulate(RouteConfig config, BalancerSettings platform, SplittableRandom random) {
        RatioBalancer balancer = new RatioBalancer(platform, random.nextLong());
        List<EndpointEntry> endpoints = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            endpoints.add(new EndpointEntry("s" + i, "", 0, EndpointState.READY, 1, 0));
        }
        handle(balancer, new EndpointsChanged(EndpointUpdateKind.FULL, endpoints));
        handle(balancer, new RoutesChanged(config.routeTable()));
        for (int step = 0; step < 400; step++) {
            long next = now + random.nextLong(step % 50 == 0 ? 2000 * MS : 20 * MS);
            if (timerAt <= next) {
                now = Math.max(now, timerAt);
                timerAt = Long.MAX_VALUE;
                handle(balancer, new TimerFired("due"));
                continue;
            }
            now = next;
            if (random.nextInt(3) == 0 || outstandingAttempts.isEmpty()) {
                sendRequest(balancer, config, "r" + step, random);
            } else {
                Object[] attempt = outstandingAttempts.remove(random.nextInt(outstandingAttempts.size()));
                AttemptOutcome outcome = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                endAttempt(balancer, attempt, outcome);
            }
        }
        while (!outstandingAttempts.isEmpty()) {
            endAttempt(balancer, outstandingAttempts.remove(0), AttemptOutcome.RESET);
        }
        for (int i = 0; i < 10_000 && timerAt < Long.MAX_VALUE; i++) {
            now = Math.max(now, timerAt);
            timerAt = Long.MAX_VALUE;
            handle(balancer, new TimerFired("due"));
            while (!outstandingAttempts.isEmpty()) {
                endAttempt(balancer, outstandingAttempts.remove(0), AttemptOutcome.RESET);
            }
        }
        requests.forEach((id, request) -> assertTrue(request.answered, id + " was never answered"));
    }

    private void sendRequest(RatioBalancer balancer, RouteConfig config, String id, SplittableRandom random) {
        TrackedRequest request = new TrackedRequest();
        request.requestClass = random.nextBoolean() ? "read" : "book";
        String method = random.nextBoolean() ? "GET" : "POST";
        String target = "/" + request.requestClass + (random.nextBoolean() ? "/7" : "");
        request.policy =
                config.routeTable().match(request.requestClass, method, target).policy();
        long requestedDeadline = now + 8000 * MS;
        request.deadline = request.policy.deadline() > 0
                ? Math.min(requestedDeadline, now + request.policy.deadline())
                : requestedDeadline;
        requests.put(id, request);
        handle(
                balancer,
                new RequestArrived(
                        id,
                        request.requestClass,
                        requestedDeadline,
                        random.nextBoolean() ? "clinic-a" : null,
                        0,
                        false,
                        method,
                        target));
    }

    private void endAttempt(RatioBalancer balancer, Object[] attempt, AttemptOutcome outcome) {
        TrackedRequest request = requests.get(attempt[0]);
        request.inFlight--;
        request.possibleExecutions -= outcome.notExecuted ? 1 : 0;
        boolean succeeded = outcome == AttemptOutcome.OK && !request.answered;
        request.answered |= succeeded;
        handle(
                balancer,
                new AttemptEnded(
                        (String) attempt[0],
                        (int) attempt[1],
                        (String) attempt[2],
                        outcome,
                        10 * MS,
                        request.answered,
                        null));
    }

    private void handle(RatioBalancer balancer, BalancerEvent event) {
        for (BalancerAction action : balancer.handle(now, event)) {
            if (action instanceof SendAttempt send) {
                TrackedRequest request = requests.get(send.requestId());
                assertTrue(!request.answered, "sent after its final answer");
                assertTrue(now < request.deadline, "sent after its deadline");
                assertTrue(
                        send.timeout() == 0 ? request.policy.deadline() == 0 : now + send.timeout() <= request.deadline,
                        "an attempt may outlive its deadline");
                // Every attempt counts as possibly executed until its outcome proves that it was not.
                request.possibleExecutions++;
                request.inFlight++;
                assertTrue(
                        !request.requestClass.equals("book") || request.possibleExecutions <= 1,
                        "a non-idempotent request may run twice");
                int maxAttempts = request.policy.maxAttempts() > 0 ? request.policy.maxAttempts() : 4;
                assertTrue(++request.attempts <= maxAttempts, "more than " + maxAttempts + " attempts");
                outstandingAttempts.add(new Object[] {send.requestId(), request.attempts - 1, send.endpointId()});
            } else if (action instanceof RejectRequest rejected) {
                recordResponse(requests.get(rejected.requestId()), true);
            } else if (action instanceof FailRequest failed) {
                recordResponse(requests.get(failed.requestId()), false);
            } else if (action instanceof ScheduleTimer scheduled) {
                timerAt = Math.min(timerAt, now + scheduled.delay());
            }
        }
    }

    private void recordResponse(TrackedRequest request, boolean rejected) {
        assertTrue(!request.answered, "answered twice");
        request.answered = true;
        assertEquals(
                rejected,
                rejected && (request.possibleExecutions == 0 || request.requestClass.equals("read")),
                "rejected a request that may have run");
    }
}
