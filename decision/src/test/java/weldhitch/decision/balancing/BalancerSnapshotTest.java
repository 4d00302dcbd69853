package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.snapshot.BalancerSnapshot;

/** Tests that a restored balancer makes the same decisions as the original, and that invalid snapshots are rejected. */
class BalancerSnapshotTest {
    /** Returns a description of a value: all components of a record by name, and arrays by their contents. */
    static String describe(Object value) throws ReflectiveOperationException {
        if (value instanceof Record r) {
            StringBuilder text = new StringBuilder(r.getClass().getSimpleName()).append('{');
            for (RecordComponent component : r.getClass().getRecordComponents()) {
                component.getAccessor().setAccessible(true);
                text.append(component.getName())
                        .append('=')
                        .append(describe(component.getAccessor().invoke(r)))
                        .append(' ');
            }
            return text.append('}').toString();
        }
        if (value instanceof List<?> list) {
            List<String> descriptions = new ArrayList<>();
            for (Object each : list) {
                descriptions.add(describe(each));
            }
            return descriptions.toString();
        }
        return value instanceof double[] d
                ? java.util.Arrays.toString(d)
                : value instanceof long[] l
                        ? java.util.Arrays.toString(l)
                        : value instanceof int[] i
                                ? java.util.Arrays.toString(i)
                                : value instanceof byte[] b
                                        ? java.util.Arrays.toString(b)
                                        : value instanceof java.util.Set<?> s
                                                ? new java.util.TreeSet<>(s).toString()
                                                : value instanceof java.util.Map<?, ?> m
                                                        ? new java.util.TreeMap<>(m).toString()
                                                        : String.valueOf(value);
    }

    /** Runs one balancer without interruption, and restores another from its own snapshot after every few events. */
    private static String firstDifferenceAfterRestore(long seed) {
        Workload workload = new Workload(seed, seed % 5 == 1);
        SplittableRandom random = new SplittableRandom(seed);
        RatioBalancer original = new RatioBalancer(workload.settings, seed);
        RatioBalancer[] restored = {new RatioBalancer(workload.settings, seed)};
        String[] difference = {null};
        workload.play(
                (now, event) -> {
                    try {
                        if (random.nextInt(20) == 0) {
                            BalancerSnapshot saved = restored[0].snapshot();
                            restored[0] = RatioBalancer.restore(workload.settings, saved, null);
                            if (!describe(saved).equals(describe(restored[0].snapshot()))) {
                                difference[0] = "seed " + seed + ": the snapshot of the restored balancer differs";
                            }
                        }
                    } catch (ReflectiveOperationException e) {
                        throw new AssertionError(e);
                    }
                    List<BalancerAction> actions = original.handle(now, event);
                    List<BalancerAction> restoredActions = restored[0].handle(now, event);
                    if (!actions.equals(restoredActions) && difference[0] == null) {
                        difference[0] = "seed " + seed + " at " + now + " " + event + ": " + actions + ", restored: "
                                + restoredActions;
                    }
                    return actions;
                },
                1200,
                (event, actions) -> {});
        return difference[0];
    }

    @Test
    void restoredBalancerDecidesLikeTheOriginal() {
        assertEquals(
                List.of(),
                LongStream.range(0, 300)
                        .parallel()
                        .mapToObj(BalancerSnapshotTest::firstDifferenceAfterRestore)
                        .filter(java.util.Objects::nonNull)
                        .toList());
    }

    /** Takes one snapshot at once and another incrementally while its balancer handles events; both must be equal. */
    private static String firstIncrementalDifference(long seed) {
        Workload workload = new Workload(seed, seed % 5 == 1);
        SplittableRandom random = new SplittableRandom(seed);
        RatioBalancer balancer = new RatioBalancer(workload.settings, seed);
        RatioBalancer reference = new RatioBalancer(workload.settings, seed);
        IncrementalSnapshot[] incremental = {null};
        String[] expected = {null};
        String[] difference = {null};
        int[] completed = {0};
        workload.play(
                (now, event) -> {
                    try {
                        if (incremental[0] == null && random.nextInt(10) == 0) {
                            expected[0] = describe(reference.snapshot());
                            incremental[0] = balancer.beginSnapshot();
                        } else if (incremental[0] != null && incremental[0].saveNext(random.nextInt(3))) {
                            completed[0]++;
                            if (!describe(incremental[0].snapshot()).equals(expected[0])) {
                                difference[0] = "seed " + seed + " at " + now
                                        + ": the incremental snapshot differs from the state at its start";
                            }
                            incremental[0] = null;
                        }
                    } catch (ReflectiveOperationException e) {
                        throw new AssertionError(e);
                    }
                    reference.handle(now, event);
                    return balancer.handle(now, event);
                },
                1200,
                (event, actions) -> {});
        return difference[0] == null && completed[0] < 10
                ? "seed " + seed + ": only " + completed[0] + " snapshots were completed"
                : difference[0];
    }

    @Test
    void incrementalSnapshotIsConsistentWithItsStart() {
        assertEquals(
                List.of(),
                LongStream.range(0, 300)
                        .parallel()
                        .mapToObj(BalancerSnapshotTest::firstIncrementalDifference)
                        .filter(java.util.Objects::nonNull)
                        .toList());
    }

    @Test
    void newSnapshotCompletesThePreviousAndIncompleteOneIsUnavailable() throws ReflectiveOperationException {
        BalancerHarness harness = busyBalancer();
        String first = describe(harness.balancer.snapshot());
        IncrementalSnapshot firstSnapshot = harness.balancer.beginSnapshot();
        assertThrows(IllegalStateException.class, firstSnapshot::snapshot);
        harness.sendRequest("r4", "read");
        IncrementalSnapshot secondSnapshot = harness.balancer.beginSnapshot();
        assertTrue(firstSnapshot.complete() && !secondSnapshot.complete());
        harness.sendRequest("r5", "read");
        assertEquals(first, describe(firstSnapshot.snapshot()));
        assertEquals(4, secondSnapshot.finish().requests().size() + 1);
    }

    private static BalancerHarness busyBalancer() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        harness.serveRequest("r1", 20 * BalancerHarness.MS);
        harness.sendRequest("r2", "read");
        harness.sendRequest("r3", "write");
        return harness;
    }

    private static void assertRejected(String field, java.util.function.UnaryOperator<BalancerSnapshot> change) {
        BalancerHarness harness = busyBalancer();
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> RatioBalancer.restore(
                        BalancerHarness.settings(
                                BalancerHarness.requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                                BalancerHarness.requestClass(
                                        "write", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
                                BalancerHarness.requestClass(
                                        "put", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL)),
                        change.apply(harness.balancer.snapshot()),
                        null));
        assertTrue(e.getMessage().contains(field), e.getMessage());
    }

    private static BalancerSnapshot.EndpointSnapshot withCredit(
            BalancerSnapshot.EndpointSnapshot s, DoubleUnaryOperator change) {
        return new BalancerSnapshot.EndpointSnapshot(
                s.id(),
                s.zone(),
                s.cell(),
                s.state(),
                s.weight(),
                s.startedAt(),
                s.listed(),
                change.applyAsDouble(s.slowStartCredit()),
                s.warmingUp(),
                s.failures(),
                s.failedAt(),
                s.errorRate(),
                s.latencies(),
                s.latencySum(),
                s.sampleCount(),
                s.nextSample(),
                s.lastSampleAt(),
                s.lastResponseAt(),
                s.outstanding());
    }

    private static BalancerSnapshot withParts(
            BalancerSnapshot s,
            List<BalancerSnapshot.EndpointSnapshot> endpoints,
            List<BalancerSnapshot.RequestSnapshot> requests,
            int admitted,
            List<BalancerSnapshot.TimerSnapshot> timers) {
        BalancerSnapshot.AdmissionLimitSnapshot a = s.admission();
        return new BalancerSnapshot(
                s.version(),
                s.randomState(),
                s.zones(),
                endpoints,
                s.warmingUp(),
                s.servedRate(),
                s.servedRateAt(),
                s.classes(),
                s.routes(),
                s.activeRoutes(),
                s.retryBudgets(),
                s.routeTokenBuckets(),
                s.latencyPercentiles(),
                s.routeStates(),
                requests,
                timers,
                s.timerArmedAt(),
                s.nextSequence(),
                new BalancerSnapshot.AdmissionLimitSnapshot(
                        a.limit(),
                        admitted,
                        a.adjusted(),
                        a.inSlowStart(),
                        a.lowestLatencyRatio(),
                        a.slowAnswerExcess(),
                        a.endpointWeight()),
                s.tenantQuotas(),
                s.meanRank(),
                s.retryTokens(),
                s.started(),
                s.subscriptionPending(),
                s.subscribed(),
                s.subscriptionRejections());
    }

    @Test
    void invalidFieldIsRejectedByName() {
        assertRejected(
                "server a: credit: NaN",
                s -> withParts(
                        s,
                        s.endpoints().stream()
                                .map(each -> withCredit(each, c -> Double.NaN))
                                .toList(),
                        s.requests(),
                        s.admission().admitted(),
                        s.timers()));
        assertRejected("admission.admitted: 7", s -> withParts(s, s.endpoints(), s.requests(), 7, s.timers()));
        assertRejected(
                "timers: 9",
                s -> withParts(
                        s,
                        s.endpoints(),
                        s.requests(),
                        s.admission().admitted(),
                        List.of(new BalancerSnapshot.TimerSnapshot(1, 1, 9, false))));
        assertRejected("out", s -> withParts(s, s.endpoints(), List.of(), 0, List.of()));
        assertRejected(
                "servers: a",
                s -> withParts(s, List.of(s.endpoints().get(0), s.endpoints().get(0)), List.of(), 0, List.of()));
        assertRejected(
                "version: 1",
                s -> new BalancerSnapshot(
                        1,
                        s.randomState(),
                        s.zones(),
                        s.endpoints(),
                        s.warmingUp(),
                        s.servedRate(),
                        s.servedRateAt(),
                        s.classes(),
                        s.routes(),
                        s.activeRoutes(),
                        s.retryBudgets(),
                        s.routeTokenBuckets(),
                        s.latencyPercentiles(),
                        s.routeStates(),
                        s.requests(),
                        s.timers(),
                        s.timerArmedAt(),
                        s.nextSequence(),
                        s.admission(),
                        s.tenantQuotas(),
                        s.meanRank(),
                        s.retryTokens(),
                        s.started(),
                        s.subscriptionPending(),
                        s.subscribed(),
                        s.subscriptionRejections()));
        assertRejected(
                "random",
                s -> new BalancerSnapshot(
                        s.version(),
                        new byte[3],
                        s.zones(),
                        s.endpoints(),
                        s.warmingUp(),
                        s.servedRate(),
                        s.servedRateAt(),
                        s.classes(),
                        s.routes(),
                        s.activeRoutes(),
                        s.retryBudgets(),
                        s.routeTokenBuckets(),
                        s.latencyPercentiles(),
                        s.routeStates(),
                        s.requests(),
                        s.timers(),
                        s.timerArmedAt(),
                        s.nextSequence(),
                        s.admission(),
                        s.tenantQuotas(),
                        s.meanRank(),
                        s.retryTokens(),
                        s.started(),
                        s.subscriptionPending(),
                        s.subscribed(),
                        s.subscriptionRejections()));
    }

    /** {@link SeededRandom}, whose state can be saved, must yield the same numbers as the JDK's generator. */
    @Test
    void seededRandomMatchesSplittableRandom() {
        for (long seed : new long[] {0, 1, -7, Long.MIN_VALUE, 0x8c1f30d27a5be964L}) {
            SplittableRandom splittable = new SplittableRandom(seed);
            SeededRandom seeded = new SeededRandom(seed);
            for (int i = 0; i < 1000; i++) {
                assertEquals(splittable.nextDouble(), seeded.nextDouble());
            }
        }
    }
}
