package weldhitch.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.balancing.DecisionDigest;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.simulator.cluster.BalancerTap;
import weldhitch.simulator.cluster.RunStatistics;
import weldhitch.simulator.cluster.SimCluster;
import weldhitch.simulator.report.RunReport;
import weldhitch.simulator.scenario.Scenario;
import weldhitch.simulator.scenario.ScenarioFile;

/**
 * Tests that a simulated cluster recovers when the trigger of an overload is over, instead of staying overloaded by
 * the retries of rejected requests (Bronson et al., "Metastable Failures in Distributed Systems", 2021). Runs are
 * deterministic in their seed, so the result is too.
 */
class OverloadRecoveryTest {
    private static final Path RESOURCES = Path.of("simulator/src/test/resources/weldhitch/simulator");
    private static final int DURATION_SECONDS = 24;
    private static final int DIGEST_COUNT = 1000;

    private static Scenario scenario(String name) {
        try {
            return ScenarioFile.read(RESOURCES.resolve(name + ".toml"));
        } catch (IOException | ScenarioFile.InvalidScenarioException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns the fraction of the priority weight that was served in each second, by seed. */
    private static List<double[]> goodputBySeed(int seeds, LongFunction<Scenario> scenarioBySeed) {
        return LongStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> {
                    RunStatistics statistics = new SimCluster(scenarioBySeed.apply(seed), seed, null).run();
                    return statistics.bySecond.stream()
                            .limit(DURATION_SECONDS)
                            .mapToDouble(RunStatistics.RequestStatistics::goodput)
                            .toArray();
                })
                .toList();
    }

    private static void assertMinGoodput(double minGoodput, int fromSecond, List<double[]> goodputs) {
        for (int seed = 0; seed < goodputs.size(); seed++) {
            for (int second = fromSecond; second < DURATION_SECONDS; second++) {
                double goodput = goodputs.get(seed)[second];
                assertTrue(goodput >= minGoodput, "seed " + seed + ": goodput " + goodput + " in second " + second);
            }
        }
    }

    /** Control experiment: a tier without admission control admits all requests, and the cluster stays overloaded. */
    @Test
    void withoutAdmissionControlRetriesSustainTheOverload() {
        Scenario full = scenario("full-tier-1");
        long stillOverloaded = goodputBySeed(100, seed -> full).stream()
                .filter(goodput -> goodput[20] < 0.7)
                .count();
        assertTrue(stillOverloaded >= 20, stillOverloaded + " of 100 runs still overloaded 10 s after the trigger");
    }

    @Test
    void withAdmissionControlGoodputRecoversTwoSecondsAfterTheTrigger() {
        Scenario full = scenario("full");
        assertMinGoodput(0.9, 12, goodputBySeed(2000, seed -> full));
    }

    @Test
    void goodputRecoversAfterAReleaseAndARollingRestart() {
        Scenario release = scenario("release");
        Scenario broken = scenario("release-broken");
        List<double[]> goodputs = goodputBySeed(2000, seed -> seed % 2 == 1 ? broken : release);
        assertMinGoodput(0.9, 14, goodputs);
        double goodputDuringRelease = goodputs.stream()
                .mapToDouble(goodput -> (goodput[10] + goodput[11] + goodput[12]) / 3)
                .average()
                .orElseThrow();
        assertTrue(
                goodputDuringRelease >= 0.88, "mean goodput while half the servers are down: " + goodputDuringRelease);
    }

    @Test
    void sameSeedGivesTheSameReport() {
        assertEquals(reportJson(7), reportJson(7));
    }

    private static String reportJson(long seed) {
        return new RunReport("r", seed, new SimCluster(scenario("release"), seed, null).run())
                .toJson()
                .toString();
    }

    /** Computes a digest over all decisions of the first node. */
    private static final class DigestTap implements BalancerTap {
        private long digest;

        @Override
        public void onStart(BalancerSettings settings, Supplier<BalancerSnapshot> snapshotSource) {}

        @Override
        public void beforeEvent(long now) {}

        @Override
        public void onEvent(long now, BalancerEvent event, List<BalancerAction> actions) {
            digest = DecisionDigest.of(digest, now, actions);
        }
    }

    /**
     * Compares every decision of a node in 1,000 runs with digests that an earlier build wrote. After an intended
     * change of a rule or of the simulator, they are written again with
     * {@code -DargLine=-Dweldhitch.digests=write}, and the commit states that it changes them.
     */
    @Test
    void decisionsMatchRecordedDigests() throws Exception {
        Path file = RESOURCES.resolve("digests.txt");
        Scenario[] scenarios = {
            scenario("full"), scenario("release"), scenario("full-tier-1"), scenario("release-broken")
        };
        List<String> actual = LongStream.range(0, DIGEST_COUNT)
                .parallel()
                .mapToObj(seed -> {
                    DigestTap tap = new DigestTap();
                    new SimCluster(scenarios[(int) (seed % scenarios.length)], seed, tap).run();
                    return seed + " " + Long.toHexString(tap.digest);
                })
                .toList();
        if ("write".equals(System.getProperty("weldhitch.digests"))) {
            Files.write(file, actual, StandardCharsets.UTF_8);
        }
        List<String> recorded = Files.readAllLines(file, StandardCharsets.UTF_8);
        assertEquals(DIGEST_COUNT, recorded.size());
        for (int i = 0; i < DIGEST_COUNT; i++) {
            assertEquals(recorded.get(i), actual.get(i), "seed and digest of its decisions");
        }
    }
}
