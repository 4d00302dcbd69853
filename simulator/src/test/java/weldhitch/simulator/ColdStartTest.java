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
 * What the start of a fleet costs a shared discovery service, with the present pacing of polls and the former
 * one.
 */
class ColdStartTest {
    private static final int SEED_COUNT = 10;

    /** A service that writes a hundred lists of 1,000 endpoints a second. */
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
     * Ten times the nodes, at most three times the peak: the remaining growth is the long polls, one a node in
     * 2 to 4 s.
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
                largeFleetPeak + " against " + agentPacingPeak + " before");
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
    void everyNodeSoonHoldsAListAfterOneFullPoll(
            int nodeCount, double outageSeconds, boolean silentOutage, double restartAtSeconds) {
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            Result result = ColdStart.run(
                    plan(nodeCount, outageSeconds, silentOutage, restartAtSeconds), PollPacing.SHARED_SERVICE, seed);
            // 400 lists alone are 4 s of the service's work, and a first rejection costs a node up to 5 s.
            assertTrue(result.secondsToFullCoverage() < (nodeCount > 200 ? 15 : 10), seed + ": " + result);
            int starts = restartAtSeconds > 0 ? 2 : 1;
            // A poll by a node that has a list, without waiting, costs a line; a complete list costs a
            // thousand.
            assertTrue(result.linesWritten() < (nodeCount * starts + 1) * 1000L, "no list written in vain: " + result);
            assertTrue(result.steadyPollsPerSecond() < 75, result.toString());
        }
    }

    /**
     * A service that can write five lists a second and answer twenty other polls: with the former pacing,
     * abandoned polls kept it busy for good; now all nodes have a list in about the time that it needs to write
     * them.
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
                    "held up for good before: " + agentPacing);
            assertTrue(sharedPacing.secondsToFullCoverage() < 40, sharedPacing.toString());
            assertTrue(sharedPacing.linesWritten() <= 220_000, "written in vain: " + sharedPacing);
            assertTrue(
                    agentPacing.steadyPollsPerSecond() > 4 * sharedPacing.steadyPollsPerSecond(),
                    agentPacing + " and " + sharedPacing);
        }
    }

    /**
     * With poll slots granted by coordinators the peak of polls for complete lists, which are most of the
     * service's work, does not grow with the fleet, and all nodes have a list as soon; the peak of all polls
     * grows less than with random spreading, as the long polls add to it.
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
                "away %.0f s, again after %.0f: peak of calls for lists at 20, 200, 400 nodes by turns "
                        + "%.1f, %.1f, %.1f;"
                        + " by chance %.1f, %.1f, %.1f",
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
     * The table of docs/design/fleet-startup.md: {@code mvn -pl simulator -am test -Dtest=ColdStartTest
     * -Dcoldstart.table=true}.
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
