package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.SECOND;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

/**
 * Tests the slow-start rule, which limits the sum of all nodes' attempts. Many balancers in virtual time, each with
 * little and uneven traffic, see endpoints replaced. No endpoint in slow start may be sent more attempts within the
 * overload window than the rule's multiple of its present capacity. Endpoints complete every attempt in 100 ms, so that
 * only the balancers limit the attempts.
 */
class FleetSlowStartTest {
    private static final int ENDPOINTS = 10;
    /** Capacity of a warm endpoint in attempts per second. */
    private static final double CAPACITY = 10;

    private static final long LATENCY = 100 * MS;
    private static final PlatformRules DEFAULT_RULES =
            new PlatformRules(0.2, 10 * SECOND, 3, 2 * SECOND, SECOND, 10 * MS, 10 * SECOND);

    /** A task scheduled in virtual time. */
    private record ScheduledTask(long time, long sequence, Runnable task) {}

    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.sequence, b.sequence));
    /** Times of the attempts within the overload window, by endpoint. */
    private final Map<String, ArrayDeque<Long>> attemptsToWarmingUp = new HashMap<>();

    private final Map<String, Long> startedAt = new HashMap<>();
    private final Random random = new Random(4711);
    private PlatformRules rules = DEFAULT_RULES;
    private double capacity = CAPACITY;
    private RatioBalancer[] nodes;
    /**
     * Largest number of attempts in a window beyond N + 2 * sqrt(N) + 2, where N is the number that the rule allows and
     * the other terms are for random variation; negative if the bound was never exceeded.
     */
    private double excess = Double.NEGATIVE_INFINITY;

    private long now = 100 * SECOND;
    private long taskCount;
    private int attempts;
    /** Largest number of attempts in an overload window so far, as a fraction of the number that the rule allows. */
    private double worstFraction;

    private void schedule(long time, Runnable task) {
        scheduledTasks.add(new ScheduledTask(time, taskCount++, task));
    }

    private RatioBalancer newBalancer(int nodeIndex, int nodeCount) {
        RequestClass read = BalancerHarness.requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        PlatformLimits limits = new PlatformLimits(4, true, true, false, true, SECOND, 100 * MS);
        return new RatioBalancer(
                new BalancerSettings(
                        "east",
                        List.of("east", "west"),
                        1,
                        nodeIndex,
                        nodeCount,
                        List.of(read),
                        List.of(),
                        1,
                        false,
                        false,
                        WeightKind.NONE,
                        List.of(),
                        0,
                        2 * MS,
                        limits,
                        rules),
                random.nextLong());
    }

    private EndpointsChanged endpointUpdate(EndpointUpdateKind kind) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String id : new TreeSet<>(startedAt.keySet())) {
            entries.add(new EndpointEntry(id, "east", id.charAt(0), EndpointState.READY, 1, startedAt.get(id)));
        }
        return new EndpointsChanged(kind, entries);
    }

    private void handle(int node, BalancerEvent event) {
        RatioBalancer balancer = nodes[node];
        for (BalancerAction action : balancer.handle(now, event)) {
            if (action instanceof SendAttempt send) {
                recordAttempt(send.endpointId());
                String endpointId = send.endpointId();
                schedule(now + LATENCY, () -> {
                    if (nodes[node] == balancer) {
                        handle(
                                node,
                                new AttemptEnded(
                                        send.requestId(), 0, endpointId, AttemptOutcome.OK, LATENCY, true, null));
                    }
                });
            } else if (action instanceof ScheduleTimer timer) {
                schedule(now + timer.delay(), () -> {
                    if (nodes[node] == balancer) {
                        handle(node, new TimerFired(timer.token()));
                    }
                });
            }
        }
    }

    private void recordAttempt(String endpointId) {
        long age = now - startedAt.get(endpointId);
        if (startedAt.get(endpointId) == 0 || age >= rules.slowStartWindow()) {
            return;
        }
        attempts++;
        ArrayDeque<Long> recent = attemptsToWarmingUp.computeIfAbsent(endpointId, endpoint -> new ArrayDeque<>());
        recent.addLast(now);
        while (now - recent.peekFirst() > rules.overloadWindow()) {
            recent.removeFirst();
        }
        double currentCapacity =
                capacity * (rules.initialCapacity() + (1 - rules.initialCapacity()) * age / rules.slowStartWindow());
        double allowed = rules.overloadMultiple() * currentCapacity * rules.overloadWindow() / 1e9;
        excess = Math.max(excess, recent.size() - (allowed + 2 * Math.sqrt(allowed) + 2));
        worstFraction = Math.max(worstFraction, recent.size() / allowed);
    }

    /** Picks a node for a request. Traffic is uneven: the busiest node gets seven times as much as the least busy. */
    private int randomNode(int nodeCount) {
        int node;
        do {
            node = random.nextInt(nodeCount);
        } while (random.nextDouble() * 7 > 1 + node % 7);
        return node;
    }

    private void scheduleArrivals(long until, double perSecond, int nodeCount) {
        if (now < until) {
            handle(
                    randomNode(nodeCount),
                    new RequestArrived("r" + taskCount, "read", now + 2 * SECOND, null, 0, false));
            schedule(
                    now + (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond),
                    () -> scheduleArrivals(until, perSecond, nodeCount));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "1, 1, false",
        "1, 5, false",
        "1, 10, false",
        "2, 5, true",
        "14, 10, false",
        "40, 1, false",
        "40, 5, false",
        "40, 10, false",
        "40, 5, true",
        "40, 10, true",
        "200, 1, false",
        "200, 5, false",
        "200, 10, false",
        "200, 10, true"
    })
    void fleetStaysWithinTheSlowStartLimit(int nodeCount, int replaced, boolean restart) {
        simulate(nodeCount, replaced, restart, 0.67);
        assertTrue(
                worstFraction < 1,
                nodeCount + " nodes sent an endpoint in slow start " + worstFraction + " times the allowed attempts");
    }

    /**
     * Tests a fleet of a few dozen nodes under a burst with tight rules: short overload windows, small overload
     * multiples and endpoints of low capacity. The requirement is that a window exceeds the N attempts that the rule
     * allows by at most 2 * sqrt(N) + 2, as random variation.
     */
    @ParameterizedTest
    @CsvSource({
        "20, 3, false, 3, 3, 10",
        "24, 5, true, 3, 3, 10",
        "30, 3, false, 3, 2, 10",
        "30, 10, false, 3, 3, 20",
        "24, 3, true, 2, 2, 10",
        "30, 3, true, 1.5, 2, 20",
        "30, 1, false, 2, 1, 20",
        "20, 5, true, 1.5, 1, 30"
    })
    void smallFleetExceedsTheLimitByChanceOnly(
            int nodeCount, int replaced, boolean restart, double multiple, int windowSeconds, double perSecond) {
        capacity = perSecond;
        rules = new PlatformRules(0.3, 8 * SECOND, multiple, windowSeconds * SECOND, SECOND, 10 * MS, 10 * SECOND);
        for (int seed = 0; seed < 5; seed++) {
            random.setSeed(seed);
            scheduledTasks.clear();
            attemptsToWarmingUp.clear();
            startedAt.clear();
            now = 100 * SECOND;
            simulate(nodeCount, replaced, restart, 1.1);
        }
        System.out.println(nodeCount + " nodes, " + replaced + " of " + ENDPOINTS + " endpoints replaced, multiple "
                + multiple + " over " + windowSeconds + " s, " + perSecond + " attempts per second: fullest window "
                + worstFraction + " of N, " + excess + " attempts beyond N + 2 * sqrt(N) + 2");
        assertTrue(excess <= 0, excess + " attempts beyond the allowance for random variation");
    }

    private void simulate(int nodeCount, int replaced, boolean restart, double load) {
        nodes = new RatioBalancer[nodeCount];
        for (int i = 0; i < ENDPOINTS; i++) {
            startedAt.put("w" + i, 0L);
        }
        for (int i = 0; i < nodeCount; i++) {
            nodes[i] = newBalancer(i, nodeCount);
            handle(i, endpointUpdate(EndpointUpdateKind.CACHED));
        }
        long replacedAt = now + 15 * SECOND;
        schedule(replacedAt, () -> {
            for (int i = 0; i < replaced; i++) {
                startedAt.remove("w" + i);
                startedAt.put("c" + i, now);
            }
            for (int i = 0; i < nodeCount; i++) {
                if (restart && i % 2 == 0) {
                    nodes[i] = newBalancer(i, nodeCount);
                }
                handle(i, endpointUpdate(EndpointUpdateKind.FULL));
            }
        });
        scheduleArrivals(replacedAt + 12 * SECOND, load * ENDPOINTS * capacity, nodeCount);
        for (ScheduledTask next = scheduledTasks.poll();
                next != null && next.time < replacedAt + 20 * SECOND;
                next = scheduledTasks.poll()) {
            now = next.time;
            next.task.run();
        }
        assertTrue(attempts > 0, "endpoints in slow start were sent no attempts");
    }
}
