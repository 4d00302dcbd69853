package weldhitch.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.policy.DroppedEvents;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.simulator.cluster.BalancerTap;
import weldhitch.simulator.cluster.SimCluster;
import weldhitch.simulator.scenario.Scenario;
import weldhitch.simulator.scenario.ScenarioFile;
import weldhitch.simulator.whatif.WhatIfAnalysis;

/**
 * Compares the predictions of the model with the ground truth: the simulator, run for the same cluster and seed with
 * the other rules.
 */
class WhatIfAnalysisTest {
    private static final int SEED_COUNT = 4;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Records the capture of the first node in memory. */
    private static final class InMemoryTap implements BalancerTap {
        final List<CaptureEntry> entries = new ArrayList<>();
        private BalancerSettings settings;
        private Supplier<BalancerSnapshot> snapshotSource;
        private boolean justStarted;
        private int startCount;

        @Override
        public void onStart(BalancerSettings newSettings, Supplier<BalancerSnapshot> newSnapshotSource) {
            settings = newSettings;
            snapshotSource = newSnapshotSource;
            justStarted = true;
            startCount++;
        }

        @Override
        public void beforeEvent(long now) {
            if (justStarted || entries.size() % 2000 == 0) {
                entries.add(new CaptureEntry.SnapshotRecord(
                        now, "n", "run-" + startCount, "test", settings, snapshotSource.get(), null));
                justStarted = false;
            }
        }

        @Override
        public void onEvent(long now, BalancerEvent event, List<BalancerAction> actions) {
            entries.add(new CaptureEntry.EventRecord(now, event, actions));
        }
    }

    private static Scenario shippedScenario(String name, long seconds) throws Exception {
        return ScenarioFile.parse(name, Files.readString(Path.of("simulator/scenarios/" + name + ".toml")))
                .withDuration(seconds * NANOS_PER_SECOND);
    }

    private static List<CaptureEntry> capture(Scenario scenario, long seed, RouteTable routes) {
        InMemoryTap tap = new InMemoryTap();
        new SimCluster(scenario, seed, routes, tap).run();
        return tap.entries;
    }

    private static WhatIfAnalysis.Result analyze(List<CaptureEntry> entries, RouteTable routes) {
        WhatIfAnalysis analysis = new WhatIfAnalysis(true, routes);
        entries.forEach(analysis);
        return analysis.simulate(SEED_COUNT, 0.95);
    }

    private static RouteTable routesForViewSlots(RoutePolicy policy) {
        return new RouteTable(
                List.of(new RouteTable.Route("r", 0, new RoutePattern("view-slots", null, List.of(), true), policy)));
    }

    /** Returns routes that allow one attempt with a timeout of 250 ms, which is less than clients allow. */
    private static RouteTable strictTimeout() {
        return routesForViewSlots(
                new RoutePolicy(250_000_000L, 0, 1, null, RoutePolicy.RETRYABLE, null, null, null, Map.of()));
    }

    private static double measured(WhatIfAnalysis.Result result, String metric) {
        return line(result, metric).measured();
    }

    private static WhatIfAnalysis.MetricLine line(WhatIfAnalysis.Result result, String metric) {
        return result.lines().stream()
                .filter(l -> l.requestClass().equals(WhatIfAnalysis.ALL_CLASSES)
                        && l.metric().equals(metric))
                .findFirst()
                .orElseThrow();
    }

    private static void assertNear(String label, double expected, double actual, double tolerance) {
        assertEquals(expected, actual, tolerance, label);
    }

    /** With the captured rules the model reproduces the capture, for each scenario. */
    @Test
    void modelUnderCapturedRoutesMatchesTheCapture() throws Exception {
        String grey = Files.readString(Path.of("simulator/scenarios/grey.toml"));
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        for (String name : List.of("calm", "grey", "release", "slow-zone", "overload", "campaign")) {
            scenarios.put(name, shippedScenario(name, 45));
        }
        for (String kind : List.of("silent", "full", "stall")) {
            scenarios.put(
                    kind,
                    ScenarioFile.parse(
                                    kind,
                                    grey.replace("\"errors\"", '"' + kind + '"').replace("servers = 1", "servers = 4"))
                            .withDuration(45 * NANOS_PER_SECOND));
        }
        for (Map.Entry<String, Scenario> scenario : scenarios.entrySet()) {
            WhatIfAnalysis.Result result = analyze(capture(scenario.getValue(), 3, null), null);
            boolean overloaded = Set.of("overload", "campaign").contains(scenario.getKey());
            WhatIfAnalysis.MetricLine inTime = line(result, "in time");
            assertNear(scenario.getKey() + ": in time", inTime.measured(), inTime.baseline(), overloaded ? 0.06 : 0.02);
            WhatIfAnalysis.MetricLine attempts = line(result, "attempts");
            assertNear(
                    scenario.getKey() + ": attempts",
                    attempts.measured(),
                    attempts.baseline(),
                    overloaded ? 0.06 : 0.04);
            WhatIfAnalysis.MetricLine median = line(result, "p50 ms");
            assertNear(
                    scenario.getKey() + ": p50",
                    median.measured(),
                    median.baseline(),
                    (overloaded ? 0.3 : 0.1) * median.measured());
            // The same rules must give no difference.
            for (WhatIfAnalysis.MetricLine each : result.lines()) {
                assertEquals(each.baseline(), each.alternative(), 1e-9, scenario.getKey() + " " + each);
                assertFalse(each.change().isSignificant(), scenario.getKey() + " " + each);
            }
        }
    }

    @Test
    void modelPredictsOtherRoutesWithoutOverload() throws Exception {
        RouteTable hedge = routesForViewSlots(new RoutePolicy(
                0,
                0,
                0,
                null,
                RoutePolicy.RETRYABLE,
                null,
                new RoutePolicy.HedgeAfterDelay(150_000_000L),
                null,
                Map.of()));
        for (RouteTable alternative : List.of(strictTimeout(), hedge)) {
            Scenario scenario = shippedScenario("slow-zone", 45);
            List<CaptureEntry> entries = capture(scenario, 3, null);
            WhatIfAnalysis.Result predicted = analyze(entries, alternative);
            WhatIfAnalysis.Result actual = analyze(capture(scenario, 3, alternative), alternative);
            for (String metric : List.of("in time", "attempts")) {
                assertNear(
                        metric,
                        measured(actual, metric) - measured(predicted, metric),
                        line(predicted, metric).alternative()
                                - line(predicted, metric).baseline(),
                        0.02);
            }
            assertTrue(line(predicted, alternative == hedge ? "attempts" : "in time")
                    .change()
                    .isSignificant());
        }
    }

    /** With shorter timeouts and immediate client retries, the overload sustains itself, and the model predicts it. */
    @Test
    void modelPredictsRetryAmplifiedOverload() throws Exception {
        Scenario scenario = shippedScenario("overload", 45);
        WhatIfAnalysis analysis = new WhatIfAnalysis(true, strictTimeout());
        capture(scenario, 3, null).forEach(analysis);
        assertFalse(analysis.divergences().isEmpty());
        WhatIfAnalysis.Result predicted = analysis.simulate(SEED_COUNT, 0.95);
        WhatIfAnalysis.Result actual = analyze(capture(scenario, 3, strictTimeout()), strictTimeout());
        double inTimeChange = measured(actual, "in time") - measured(predicted, "in time");
        assertTrue(inTimeChange < -0.25, "fraction in time must fall by over 0.25 in the simulation: " + inTimeChange);
        assertNear(
                "in time",
                inTimeChange,
                line(predicted, "in time").alternative()
                        - line(predicted, "in time").baseline(),
                0.12);
        assertTrue(line(predicted, "in time").change().high() < -0.2);
        assertTrue(line(predicted, "arrived").alternative()
                > 1.3 * line(predicted, "arrived").baseline());
    }

    @Test
    void gapSplitsACaptureAndAnalysisIsRepeatable() throws Exception {
        List<CaptureEntry> entries = new ArrayList<>(capture(shippedScenario("grey", 20), 3, null));
        WhatIfAnalysis.Result complete = analyze(entries, strictTimeout());
        assertEquals(1, complete.segmentCount());
        assertEquals(
                complete.lines().toString(),
                analyze(entries, strictTimeout()).lines().toString());
        List<Integer> snapshots = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i) instanceof CaptureEntry.SnapshotRecord) {
                snapshots.add(i);
            }
        }
        int snapshotIndex = snapshots.get(snapshots.size() / 2);
        CaptureEntry.SnapshotRecord snapshotRecord = (CaptureEntry.SnapshotRecord) entries.get(snapshotIndex);
        entries.set(
                snapshotIndex,
                snapshotRecord.withDropped(
                        new DroppedEvents(snapshotRecord.timestamp() - 1, snapshotRecord.timestamp(), 7)));
        assertEquals(2, analyze(entries, strictTimeout()).segmentCount());
        entries.set(snapshotIndex - 1, new CaptureEntry.Corruption("f", 1, 1, "truncated"));
        assertEquals(2, analyze(entries, strictTimeout()).segmentCount());
        // Corruption without a snapshot after it ends a segment, and the events that follow are ignored.
        List<CaptureEntry> truncated = new ArrayList<>(entries.subList(0, snapshotIndex));
        assertEquals(1, analyze(truncated, strictTimeout()).segmentCount());
    }
}
