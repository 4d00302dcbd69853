package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
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
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingDisabled;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.LoadReportField;
import weldhitch.decision.settings.PlatformLimits;
import weldhitch.decision.settings.PlatformRules;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.settings.Tenant;
import weldhitch.decision.settings.WeightKind;

/**
 * Generates random events from a seed, in response to a balancer's decisions. The events are of every type that a
 * balancer handles: requests of each idempotency, streamed responses, quotas, changing routes, subscriptions that
 * succeed or are rejected, endpoints that warm up or drain, all outcomes, clients that disconnect, and simultaneous
 * events. The workload does not model a real system; it only produces possible sequences of events. Not thread-safe;
 * used by the tests of several modules.
 */
public final class Workload {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1000 * MS;
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    /** Handles an event, usually by passing it to a balancer, and returns the actions. */
    public interface EventHandler {
        List<BalancerAction> handle(long now, BalancerEvent event);
    }

    /** An event scheduled for a later time. */
    private record ScheduledEvent(long time, long sequence, BalancerEvent event) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(sequence, other.sequence);
        }
    }

    /** An attempt in flight. */
    private record OutstandingAttempt(
            String requestId, int attempt, String endpointId, long sentAt, boolean streamed) {}

    public final BalancerSettings settings;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledEvent> scheduled = new PriorityQueue<>();
    private final List<OutstandingAttempt> outstanding = new ArrayList<>();
    private final java.util.LinkedHashMap<String, Integer> attempts = new java.util.LinkedHashMap<>();
    private final java.util.Set<String> finishedRequests = new java.util.HashSet<>();
    /** Separate generator for zones, which keeps the other draws the same with and without zones; null without. */
    private final SplittableRandom zoneRandom;

    private final int endpointCount;
    private long nextNumber;
    private long now = 1_000_000_000_000L;
    private int eventCount;

    /** Creates a workload whose requests are not restricted to zones. */
    public Workload(long seed) {
        this(seed, false);
    }

    /**
     * Creates a workload.
     *
     * @param withZones whether requests are restricted to zones, and may request others
     */
    public Workload(long seed, boolean withZones) {
        zoneRandom = withZones ? new SplittableRandom(seed) : null;
        random = new SplittableRandom(seed * 7919 + 17);
        endpointCount = random.nextInt(1, 24);
        settings = settings();
    }

    private BalancerSettings settings() {
        boolean hedgingAllowed = random.nextBoolean();
        List<RequestClass> classes = List.of(
                new RequestClass(
                        "safe", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300 * MS, 0, SECOND, 3, 0.5, false),
                new RequestClass(
                        "unsafe",
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        300 * MS,
                        0,
                        SECOND,
                        9,
                        0.2,
                        false),
                new RequestClass(
                        "zone",
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.ZONE,
                        400 * MS,
                        300 * MS,
                        0,
                        SECOND,
                        2,
                        0.5,
                        false),
                new RequestClass(
                        "cell",
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.CELL,
                        400 * MS,
                        0,
                        0,
                        SECOND,
                        1,
                        0.5,
                        false),
                new RequestClass(
                        "stream",
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        300 * MS,
                        0,
                        2 * SECOND,
                        4,
                        0.5,
                        true));
        return new BalancerSettings(
                "a",
                List.of("a", "b"),
                random.nextInt(4) == 0 ? 1 : 0,
                0,
                2,
                classes,
                List.of(new Tenant("clinic", 40), new Tenant("other", 0)),
                0.1,
                random.nextBoolean(),
                random.nextBoolean(),
                WeightKind.NOMINAL,
                List.of(LoadReportField.IN_FLIGHT),
                0.02,
                2 * MS,
                new PlatformLimits(
                        4, hedgingAllowed, hedgingAllowed || random.nextBoolean(), false, true, SECOND, 100 * MS),
                new PlatformRules(0.3, 3 * SECOND, 3, 2 * SECOND, SECOND, 8 * MS, 4 * SECOND));
    }

    /** Returns the current virtual time in nanoseconds. */
    public long now() {
        return now;
    }

    /** Plays this number of events, and passes each one with the resulting actions to {@code observer}. */
    public void play(EventHandler handler, int eventLimit, BiConsumer<BalancerEvent, List<BalancerAction>> observer) {
        for (int i = 0; i < eventLimit; i++) {
            BalancerEvent event = eventCount++ == 0 ? randomUpdate(EndpointUpdateKind.CACHED) : nextEvent();
            List<BalancerAction> actions = handler.handle(now, event);
            observer.accept(event, actions);
            actions.forEach(this::perform);
        }
    }

    private BalancerEvent nextEvent() {
        long gap = random.nextInt(5) == 0 ? 0 : (long) (-Math.log(1 - random.nextDouble()) * 4 * MS);
        if (!scheduled.isEmpty() && scheduled.peek().time <= now + gap) {
            ScheduledEvent first = scheduled.poll();
            now = Math.max(now, first.time);
            return first.event;
        }
        now += gap;
        int roll = random.nextInt(100);
        if (roll < 45) {
            return randomArrival();
        }
        if (roll < 88 && !outstanding.isEmpty()) {
            return randomEnd(outstanding.remove(random.nextInt(outstanding.size())));
        }
        if (roll < 90 && !attempts.isEmpty()) {
            return new ClientDisconnected(attempts.keySet().iterator().next());
        }
        if (roll < 93) {
            return randomUpdate(
                    random.nextInt(6) == 0
                            ? EndpointUpdateKind.REJECTED
                            : random.nextInt(4) == 0 ? EndpointUpdateKind.FULL : EndpointUpdateKind.DELTA);
        }
        if (roll == 93) {
            return new RoutesChanged(random.nextInt(4) == 0 ? null : randomRoutes());
        }
        return roll == 94 ? new TimerFired("due") : randomArrival();
    }

    private RequestArrived randomArrival() {
        String id = String.format("%016x", nextNumber++ * 0x9E3779B97F4A7C15L);
        RequestClass requestClass =
                settings.classes().get(random.nextInt(settings.classes().size()));
        String[] tenants = {null, "clinic", "other", "stranger"};
        attempts.put(id, 0);
        return new RequestArrived(
                id,
                random.nextInt(40) == 0 ? "unheard" : requestClass.name(),
                now + random.nextLong(-2 * MS, requestClass.deadline()),
                tenants[random.nextInt(4)],
                random.nextInt(3) == 0 ? random.nextDouble() : 0,
                random.nextInt(5) == 0,
                random.nextBoolean() ? "GET" : "POST",
                "/" + requestClass.name() + (random.nextBoolean() ? "/7?x=1" : ""),
                zoneRandom == null || zoneRandom.nextInt(4) == 0 ? null : randomZones());
    }

    private List<String> randomZones() {
        return List.of(List.of("a"), List.of("b"), List.of("a", "b"), List.<String>of())
                .get(Math.min(3, zoneRandom.nextInt(10) / 3));
    }

    private BalancerEvent randomEnd(OutstandingAttempt sent) {
        long latency = now - sent.sentAt;
        if (sent.streamed && random.nextBoolean()) {
            outstanding.add(new OutstandingAttempt(sent.requestId, sent.attempt, sent.endpointId, sent.sentAt, false));
            return new ResponseStarted(sent.requestId, sent.attempt, sent.endpointId, latency);
        }
        AttemptOutcome outcome = random.nextInt(3) > 0 ? AttemptOutcome.OK : OUTCOMES[random.nextInt(OUTCOMES.length)];
        boolean finished = outcome == AttemptOutcome.OK || finishedRequests.contains(sent.requestId);
        if (finished) {
            finishedRequests.add(sent.requestId);
        }
        return new AttemptEnded(
                sent.requestId,
                sent.attempt,
                sent.endpointId,
                outcome,
                latency,
                finished,
                random.nextInt(10) == 0 ? new double[] {random.nextDouble()} : null);
    }

    private EndpointsChanged randomUpdate(EndpointUpdateKind kind) {
        List<EndpointEntry> entries = new ArrayList<>();
        if (kind != EndpointUpdateKind.REJECTED) {
            for (int i = 0; i < endpointCount; i++) {
                if (kind != EndpointUpdateKind.DELTA || random.nextInt(endpointCount) == 0) {
                    entries.add(new EndpointEntry(
                            "s" + i,
                            i % 3 == 0 ? "b" : "a",
                            i % 4,
                            randomState(),
                            1 + i % 2,
                            random.nextInt(4) == 0 ? now - random.nextLong(4 * SECOND) : 0));
                }
            }
        }
        return new EndpointsChanged(kind, entries);
    }

    private EndpointState randomState() {
        int roll = random.nextInt(12);
        return roll == 0 ? EndpointState.REMOVED : roll == 1 ? EndpointState.DRAINING : EndpointState.READY;
    }

    private RouteTable randomRoutes() {
        RoutePolicy idempotentPolicy = new RoutePolicy(
                random.nextBoolean() ? 700 * MS : 0,
                random.nextBoolean() ? 200 * MS : 0,
                3,
                random.nextBoolean() ? new Backoff(5 * MS, 40 * MS) : null,
                RoutePolicy.RETRYABLE,
                random.nextBoolean() ? new RetryBudgetSettings(0.2, 1) : null,
                random.nextBoolean()
                        ? new HedgeAtPercentile(60)
                        : random.nextBoolean() ? new HedgeAfterDelay(20 * MS) : new HedgingDisabled(),
                new RetryAfterBounds(10 * MS, 400 * MS),
                random.nextBoolean() ? Map.of("clinic", 20.0, "*", 60.0) : Map.of());
        RoutePolicy nonIdempotentPolicy = new RoutePolicy(
                0,
                0,
                2,
                null,
                Set.of(AttemptOutcome.CONNECT_FAILED, AttemptOutcome.FULL),
                new RetryBudgetSettings(0.5, 0),
                null,
                null,
                Map.of());
        return new RouteTable(List.of(
                new RouteTable.Route(
                        "safe", 2, new RoutePattern("safe", null, List.of("safe"), true), idempotentPolicy),
                new RouteTable.Route(
                        "all@stream", 1, new RoutePattern("stream", null, List.of(), true), idempotentPolicy),
                new RouteTable.Route(
                        "all@unsafe", 1, new RoutePattern("unsafe", null, List.of(), true), nonIdempotentPolicy)));
    }

    private void perform(BalancerAction action) {
        if (action instanceof SendAttempt send) {
            int attempt = attempts.merge(send.requestId(), 1, Integer::sum) - 1;
            outstanding.add(
                    new OutstandingAttempt(send.requestId(), attempt, send.endpointId(), now, random.nextInt(4) == 0));
        } else if (action instanceof ScheduleTimer timer) {
            scheduled.add(new ScheduledEvent(now + timer.delay(), nextNumber++, new TimerFired(timer.token())));
        } else if (action instanceof RequestZones zoneRequest) {
            // Zones are mostly assigned at once, sometimes later or never.
            if (zoneRandom.nextInt(8) > 0) {
                scheduled.add(new ScheduledEvent(
                        now + (zoneRandom.nextInt(4) == 0 ? 30 * MS : 0),
                        nextNumber++,
                        new ZonesAssigned(zoneRequest.requestId(), randomZones())));
            }
        } else if (action instanceof RejectRequest reject) {
            finishedRequests.add(reject.requestId());
            attempts.remove(reject.requestId());
        } else if (action instanceof FailRequest fail) {
            finishedRequests.add(fail.requestId());
            attempts.remove(fail.requestId());
        } else if (action instanceof SubscribeToEndpoints) {
            scheduled.add(new ScheduledEvent(
                    now + random.nextLong(20 * MS),
                    nextNumber++,
                    randomUpdate(random.nextInt(3) == 0 ? EndpointUpdateKind.REJECTED : EndpointUpdateKind.FULL)));
        } else if (action instanceof CancelAttempt cancel) {
            for (int i = 0; i < outstanding.size(); i++) {
                OutstandingAttempt sent = outstanding.get(i);
                if (sent.requestId.equals(cancel.requestId()) && sent.attempt == cancel.attempt()) {
                    outstanding.remove(i);
                    scheduled.add(new ScheduledEvent(
                            now,
                            nextNumber++,
                            new AttemptEnded(
                                    sent.requestId,
                                    sent.attempt,
                                    sent.endpointId,
                                    AttemptOutcome.CANCELLED,
                                    now - sent.sentAt,
                                    finishedRequests.contains(sent.requestId),
                                    null)));
                    break;
                }
            }
        }
    }
}
