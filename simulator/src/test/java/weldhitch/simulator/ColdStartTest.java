package weldhitch.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldhitch.simulator.coldstart.ColdStart;
import weldhitch.simulator.coldstart.ColdStart.Plan;
import weldhitch.simulator.coldstart.ColdStart.PollPacing;
import weldhitch.simulator.coldstart.ColdStart.Result;

/**
 * Tests the load that the start of a fleet puts on a shared discovery service: with the pacing of polls for a shared
 * service, with the pacing for a local agent, which nodes of earlier builds used for a shared service too, and with
 * poll slots.
 */
class ColdStartTest {
    private static final int SEED_COUNT = 10;

    /** A service that can write a hundred lists of 1,000 endpoints per second. */
    private static Plan plan(int nodeCount, double outageSeconds, boolean silentOutage, double restartAtSeconds) {
        return new Plan(nodeCount, 1000, 500, 100_000, 100, outageSeconds, silentOutage, restartAtSeconds, 40);
    }

    private static double meanPeak(Plan plan, PollPacing pacing) {
        double sum = 0;
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            sum += ColdStart.run(plan, pacing, seed).peakPolls();
        }
        return sum / SEED_COUNT;
    }

    /**
     * Ten times as many nodes cause at most three times the peak. The remaining growth is due to the long polls, one
     * per node every 2 to 4 s.
     */
    @ParameterizedTest
    @CsvSource({"0, false, 0", "8, false, 0", "8, true, 0", "0, false, 6"})
    void peakPollRateGrowsSublinearlyWithFleetSize(
            double outageSeconds, boolean silentOutage, double restartAtSeconds) {
        double smallFleetPeak =
                meanPeak(plan(20, outageSeconds, silentOutage, restartAtSeconds), PollPacing.SHARED_SERVICE);
        double largeFleetPeak =
                meanPeak(plan(200, outageSeconds, silentOutage, restartAtSeconds), PollPacing.SHARED_SERVICE);
        double agentPacingPeak =
                meanPeak(plan(200, outageSeconds, silentOutage, restartAtSeconds), PollPacing.LOCAL_AGENT);
        assertTrue(largeFleetPeak <= 3 * smallFleetPeak, largeFleetPeak + " against " + smallFleetPeak);
        assertTrue(
                largeFleetPeak < (outageSeconds > 0 ? 0.5 : 0.85) * agentPacingPeak,
                largeFleetPeak + " against " + agentPacingPeak + " with agent pacing");
    }

    @ParameterizedTest
    @CsvSource({
        "20, 0, false, 0",
        "200, 0, false, 0",
        "400, 0, false, 0",
        "200, 8, false, 0",
        "400, 8, false, 0",
        "200, 8, true, 0",
        "200, 0, false, 6",
        "400, 0, false, 6"
    })
    void everyNodeGetsAListSoonAfterOneFullPoll(
            int nodeCount, double outageSeconds, boolean silentOutage, double restartAtSeconds) {
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            Result result = ColdStart.run(
                    plan(nodeCount, outageSeconds, silentOutage, restartAtSeconds), PollPacing.SHARED_SERVICE, seed);
            // 400 lists alone take the service 4 s, and the first rejection delays a node by up to 5 s.
            assertTrue(result.secondsToFullCoverage() < (nodeCount > 200 ? 15 : 10), seed + ": " + result);
            int starts = restartAtSeconds > 0 ? 2 : 1;
            // A poll without waiting by a node that has a list writes one line; a complete list has a thousand lines.
            assertTrue(result.linesWritten() < (nodeCount * starts + 1) * 1000L, "unnecessary lists: " + result);
            assertTrue(result.steadyPollsPerSecond() < 75, result.toString());
        }
    }

    /**
     * The service can write 20 lists of 1,000 endpoints or answer 100 polls without a list per second. With the pacing
     * for a local agent, abandoned polls keep it overloaded forever. With the pacing for a shared service, all nodes
     * have a list in about the time that it needs to write them.
     */
    @Test
    void serviceOverloadEndsWithItsCause() {
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            Plan slowService = new Plan(200, 1000, 100, 20_000, 100, 5, false, 0, 90);
            Result sharedPacing = ColdStart.run(slowService, PollPacing.SHARED_SERVICE, seed);
            Result agentPacing = ColdStart.run(slowService, PollPacing.LOCAL_AGENT, seed);
            assertEquals(
                    Double.POSITIVE_INFINITY,
                    agentPacing.secondsToFullCoverage(),
                    "agent pacing recovered from the overload: " + agentPacing);
            assertTrue(sharedPacing.secondsToFullCoverage() < 40, sharedPacing.toString());
            assertTrue(sharedPacing.linesWritten() <= 220_000, "unnecessary lists: " + sharedPacing);
            assertTrue(
                    agentPacing.steadyPollsPerSecond() > 4 * sharedPacing.steadyPollsPerSecond(),
                    agentPacing + " and " + sharedPacing);
        }
    }

    /**
     * With poll slots granted by coordinators, the peak of polls for complete lists, which are most of the service's
     * work, does not grow with the fleet, and all nodes have a list as soon as with random spreading. The peak of all
     * polls grows less than with random spreading; it still grows because the long polls add to it.
     */
    @ParameterizedTest
    @CsvSource({"0, 0", "8, 0", "0, 6"})
    void pollSlotsKeepThePeakOfFullListPollsIndependentOfFleetSize(double outageSeconds, double restartAtSeconds) {
        double[] peaks = new double[6];
        int[] fleetSizes = {20, 200, 400};
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            for (int i = 0; i < fleetSizes.length; i++) {
                Result withSlots = ColdStart.run(
                        plan(fleetSizes[i], outageSeconds, false, restartAtSeconds), PollPacing.POLL_SLOTS, seed);
                Result withJitter = ColdStart.run(
                        plan(fleetSizes[i], outageSeconds, false, restartAtSeconds), PollPacing.SHARED_SERVICE, seed);
                peaks[i] += (double) withSlots.peakFullListPolls() / SEED_COUNT;
                peaks[i + 3] += (double) withJitter.peakFullListPolls() / SEED_COUNT;
                assertTrue(
                        withSlots.secondsToFullCoverage() < (fleetSizes[i] > 200 ? 15 : 10), seed + ": " + withSlots);
                assertTrue(
                        i == 0 || withSlots.peakPolls() <= withJitter.peakPolls(),
                        withSlots + " against " + withJitter);
            }
        }
        System.out.println(String.format(
                Locale.ROOT,
                "outage %.0f s, restart after %.0f s: peak of polls for complete lists at 20, 200, 400 nodes: "
                        + "%.1f, %.1f, %.1f with poll slots;"
                        + " %.1f, %.1f, %.1f with random spreading",
                outageSeconds,
                restartAtSeconds,
                peaks[0],
                peaks[1],
                peaks[2],
                peaks[3],
                peaks[4],
                peaks[5]));
        assertTrue(
                peaks[1] <= 1.2 * Math.max(peaks[0], peaks[3]) && peaks[1] < 0.6 * peaks[4],
                java.util.Arrays.toString(peaks));
    }

    @Test
    void sameSeedGivesTheSameResult() {
        Plan plan = plan(100, 3, true, 9);
        assertEquals(
                ColdStart.run(plan, PollPacing.SHARED_SERVICE, 5), ColdStart.run(plan, PollPacing.SHARED_SERVICE, 5));
    }

    /**
     * Prints the table of docs/design/fleet-startup.md. To run it: {@code mvn -pl simulator -am test
     * -Dtest=ColdStartTest -Dcoldstart.table=true}.
     */
    @Test
    @org.junit.jupiter.api.condition.EnabledIfSystemProperty(named = "coldstart.table", matches = "true")
    void printTable() {
        for (int nodeCount : new int[] {20, 100, 200, 400}) {
            for (Plan plan : new Plan[] {
                plan(nodeCount, 0, false, 0),
                plan(nodeCount, 8, false, 0),
                plan(nodeCount, 8, true, 0),
                plan(nodeCount, 0, false, 6),
                new Plan(nodeCount, 1000, 100, 20_000, 100, 5, false, 0, 90)
            }) {
                for (PollPacing pacing : PollPacing.values()) {
                    double[] sums = new double[5];
                    for (int seed = 1; seed <= SEED_COUNT; seed++) {
                        Result result = ColdStart.run(plan, pacing, seed);
                        double[] values = {
                            result.peakPolls(),
                            result.polls(),
                            result.linesWritten() / 1000.0,
                            result.secondsToFullCoverage(),
                            result.steadyPollsPerSecond()
                        };
                        for (int i = 0; i < values.length; i++) {
                            sums[i] += values[i] / SEED_COUNT;
                        }
                    }
                    System.out.println(String.format(
                            Locale.ROOT,
                            "| %d | %.0f s %s%s%s | %s | %.1f | %.0f | %.0f | %.1f | %.0f |",
                            nodeCount,
                            plan.outageSeconds(),
                            plan.silentOutage() ? "silent" : "refusing",
                            plan.restartAtSeconds() > 0 ? ", twice" : "",
                            plan.pollsPerSecond() < 500 ? ", slow" : "",
                            pacing,
                            sums[0],
                            sums[1],
                            sums[2],
                            sums[3],
                            sums[4]));
                }
            }
        }
    }
}
