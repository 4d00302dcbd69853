package weldhitch.fleet.locality;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.fleet.locality.SimulatedFleet.SECOND;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import weldhitch.fleet.locality.LocalityRule.HysteresisBand;
import weldhitch.fleet.locality.LocalityRule.Match;
import weldhitch.fleet.locality.LocalityRule.SpillPolicy;
import weldhitch.fleet.locality.SimulatedFleet.SimulatedZone;

/**
 * Tests the spillover of a complete fleet: a hundred nodes in three zones of two regions, with coordinators that are
 * up, down, reachable for half of the nodes, or newly elected.
 */
class FleetSpilloverTest {
    private static final double TARGET_UTILIZATION = 0.85;
    /** Factor by which the utilization of a zone that receives spillover may exceed its threshold. */
    private static final double PEAK_TOLERANCE = 1.05;

    private static final Regions REGIONS = new Regions(Map.of("west", Set.of("a", "b"), "east", Set.of("c")));

    static LocalityRules rules(double uncoordinatedFraction, String... forbidden) {
        SpillPolicy policy = new SpillPolicy(
                new HysteresisBand(TARGET_UTILIZATION, 0.7),
                new HysteresisBand(0.5, 0.8),
                new HysteresisBand(0.3, 0.1),
                5 * SECOND,
                1,
                0.2,
                uncoordinatedFraction);
        return new LocalityRules(
                REGIONS,
                SimulatedFleet.CAPACITY_PER_ENDPOINT,
                List.of(new LocalityRule(
                        "r",
                        Match.ALL,
                        List.of(LocalityRule.OWN_ZONE, LocalityRule.OWN_REGION, LocalityRule.ANY),
                        Set.of(forbidden),
                        policy,
                        false)));
    }

    /** Creates a fleet whose zone a receives 1.7 times its capacity from 5 s to 25 s; b and c have their own loads. */
    private static SimulatedFleet overloadedFleet(
            long seed, double uncoordinatedFraction, double utilizationOfB, double utilizationOfC) {
        SimulatedFleet fleet = new SimulatedFleet(
                seed,
                rules(uncoordinatedFraction),
                new SimulatedZone("a", 20, 60, seconds -> seconds >= 5 && seconds < 25 ? 3400 : 1200),
                new SimulatedZone("b", 20, 20, seconds -> utilizationOfB * 2000),
                new SimulatedZone("c", 20, 20, seconds -> utilizationOfC * 2000));
        fleet.peaksMeasuredFrom = 3 * SECOND;
        return fleet;
    }

    private static void assertWithinTarget(SimulatedFleet fleet) {
        Map<String, Double> peakUtilizations = fleet.peakUtilizations();
        assertTrue(
                peakUtilizations.get("b") <= TARGET_UTILIZATION * PEAK_TOLERANCE
                        && peakUtilizations.get("c") <= TARGET_UTILIZATION * PEAK_TOLERANCE,
                peakUtilizations.toString());
    }

    @Test
    void grantsKeepOtherZonesUnderTheirThresholdUnlikeUncoordinatedNodes() {
        SimulatedFleet uncoordinated = overloadedFleet(1, 1, 0.45, 0.4);
        uncoordinated.leader = null;
        uncoordinated.runUntil(35 * SECOND);
        for (double messageLoss : new double[] {0, 0.3}) {
            SimulatedFleet fleet = overloadedFleet(1, 0.02, 0.45, 0.4);
            fleet.messageLoss = messageLoss;
            fleet.runUntil(35 * SECOND);
            System.out.println("message loss " + messageLoss + ": peaks " + fleet.peakUtilizations() + ", served "
                    + fleet.servedFraction() + ", changes " + fleet.maxTransitions() + "; uncoordinated: peaks "
                    + uncoordinated.peakUtilizations() + ", served "
                    + uncoordinated.servedFraction() + ", changes " + uncoordinated.maxTransitions());
            assertWithinTarget(fleet);
            assertTrue(fleet.maxTransitions() <= 3 * 35 / 5, "priority level changes: " + fleet.maxTransitions());
            // The spill fraction takes 2 s to grow, a tenth of the duration of this overload, and quota grants take
            // another half second.
            assertTrue(
                    fleet.servedFraction() >= uncoordinated.servedFraction() - 0.02,
                    fleet.servedFraction() + " served, uncoordinated " + uncoordinated.servedFraction());
        }
        assertTrue(
                uncoordinated.peakUtilizations().get("b") > 1.1,
                "peaks of uncoordinated nodes: " + uncoordinated.peakUtilizations());
    }

    @Test
    void overloadedRegionsDoNotSpillOntoEachOther() {
        SimulatedFleet fleet = overloadedFleet(2, 0.02, 0.95, 0.95);
        fleet.runUntil(27 * SECOND);
        // The load of each zone's own nodes is 0.95.
        assertTrue(
                fleet.peakUtilizations().get("b") <= 0.95 * PEAK_TOLERANCE
                        && fleet.peakUtilizations().get("c") <= 0.95 * PEAK_TOLERANCE,
                fleet.peakUtilizations().toString());
    }

    /**
     * The leader fails twice during a spillover. For 1.5 s no grants are issued, then a new leader starts that does not
     * know the earlier grants.
     */
    @Test
    void leaderChangeDoesNotGrantTwice() {
        SimulatedFleet fleet = overloadedFleet(3, 0.02, 0.6, 0.5);
        for (long at : new long[] {12 * SECOND, 18 * SECOND}) {
            fleet.schedule(at, () -> fleet.leader = null);
            fleet.schedule(at + 3 * SECOND / 2, () -> fleet.leader = new ZoneLoadAggregator(fleet.now, 0.002));
        }
        fleet.runUntil(35 * SECOND);
        System.out.println(
                "two changes of leader: peaks " + fleet.peakUtilizations() + ", served " + fleet.servedFraction());
        assertWithinTarget(fleet);
    }

    /**
     * Zone a is down from 5 s to 15 s. Its load spills over at once, within quota grants, and returns gradually.
     */
    @Test
    void recoveredZoneIsRampedUpGradually() {
        SimulatedFleet fleet = new SimulatedFleet(
                4,
                rules(0.02),
                new SimulatedZone("a", 20, 20, s -> 700),
                new SimulatedZone("b", 20, 20, s -> 1000),
                new SimulatedZone("c", 20, 20, s -> 800));
        fleet.peaksMeasuredFrom = 3 * SECOND;
        SimulatedZone a = fleet.zones.get("a");
        fleet.schedule(5 * SECOND, () -> a.down = true);
        fleet.schedule(15 * SECOND, () -> a.down = false);
        fleet.runUntil(8 * SECOND);
        long servedBefore = fleet.servedRequests;
        long offeredBefore = fleet.offeredRequests;
        fleet.runUntil(15 * SECOND);
        double servedFractionDuringOutage =
                (double) (fleet.servedRequests - servedBefore) / (fleet.offeredRequests - offeredBefore);
        fleet.runUntil(16 * SECOND);
        int callsInFirstSecond = a.callsInLastSecond();
        fleet.runUntil(35 * SECOND);
        System.out.println("zone lost: served during the outage " + servedFractionDuringOutage
                + ", calls to it in the first second after its return " + callsInFirstSecond + " of 700, peaks "
                + fleet.peakUtilizations());
        assertWithinTarget(fleet);
        assertTrue(
                servedFractionDuringOutage > 0.97,
                "a load of 700 fits into the others' headroom of 1,600, served: " + servedFractionDuringOutage);
        assertTrue(callsInFirstSecond < 0.4 * 700, "calls in the first second: " + callsInFirstSecond);
        assertTrue(a.callsInLastSecond() > 650, "calls in the last second: " + a.callsInLastSecond());
    }

    /**
     * Half of the nodes do not reach the coordinator. The reports of the others are extrapolated, and the isolated
     * nodes spill over only the uncoordinated fraction.
     */
    @Test
    void reportsOfHalfTheNodesRepresentAll() {
        SimulatedFleet fleet = overloadedFleet(5, 0.02, 0.6, 0.5);
        fleet.schedule(2 * SECOND, () -> fleet.isolatedFromCoordinators = n -> n % 2 == 1);
        fleet.runUntil(27 * SECOND);
        System.out.println(
                "half of the reports lost: peaks " + fleet.peakUtilizations() + ", served " + fleet.servedFraction());
        assertWithinTarget(fleet);
    }

    /**
     * An intermittent network partition gives two parts of the fleet different views. Even so, a node on either side
     * changes a priority level at most once per dwell time.
     */
    @Test
    void intermittentFleetViewDoesNotMakePriorityLevelsFlap() {
        SimulatedFleet fleet = overloadedFleet(6, 0.02, 0.6, 0.5);
        for (int s = 8; s < 25; s += 4) {
            boolean partitioned = s % 8 == 0;
            fleet.schedule(s * SECOND, () -> fleet.isolatedFromCoordinators = n -> partitioned && n % 3 == 0);
        }
        fleet.runUntil(35 * SECOND);
        System.out.println(
                "intermittent partition: peaks " + fleet.peakUtilizations() + ", changes " + fleet.maxTransitions());
        assertWithinTarget(fleet);
        assertTrue(fleet.maxTransitions() <= 3 * 35 / 5, "priority level changes: " + fleet.maxTransitions());
    }

    /**
     * The endpoints of the zone that receives the spillover have half of the capacity that the rule states. Their late
     * answers reduce the quota grants for the zone.
     */
    @Test
    void zoneWithLessCapacityThanConfiguredStaysBelowTheTarget() {
        SimulatedFleet fleet = overloadedFleet(7, 0.02, 0.45, 0.2);
        fleet.schedule(2 * SECOND, () -> fleet.zones.get("b").speedFactor = 0.5);
        fleet.runUntil(22 * SECOND);
        System.out.println(
                "b at half capacity: peaks " + fleet.peakUtilizations() + ", served " + fleet.servedFraction());
        // 0.45 is the load of its own nodes; if late answers did not count, the zone would be filled to 0.85.
        assertTrue(
                fleet.peakUtilizations().get("b") < 0.7,
                fleet.peakUtilizations().toString());
    }

    /**
     * Rules are replaced during a spillover: a zone that the new version forbids receives no further requests.
     */
    @Test
    void versionWithOtherRegionsAppliesFromTheNextRequest() {
        SimulatedFleet fleet = overloadedFleet(8, 0.02, 0.3, 0.3);
        fleet.runUntil(15 * SECOND);
        assertTrue(
                fleet.zones.get("b").callsInLastSecond() > 800,
                "calls to b during the spillover: " + fleet.zones.get("b").callsInLastSecond());
        LocalityRules newRules = rules(0.02, "b");
        fleet.nodes.forEach(n -> n.updateRules(newRules, fleet.now));
        int transitionsBefore = fleet.maxTransitions();
        fleet.runUntil(17 * SECOND);
        assertEquals(
                0,
                fleet.nodes.subList(0, 60).stream()
                        .mapToDouble(n -> n.loadReport(fleet.now).spillDemand().getOrDefault("b", 0.0))
                        .sum());
        assertTrue(
                fleet.zones.get("b").callsInLastSecond() <= 620,
                "b's own load is 600: " + fleet.zones.get("b").callsInLastSecond());
        assertTrue(
                fleet.maxTransitions() - transitionsBefore <= 3,
                "priority level changes: " + (fleet.maxTransitions() - transitionsBefore));
    }
}
