package weldhitch.fleet.locality;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import weldhitch.fleet.locality.LocalityRule.HysteresisBand;
import weldhitch.fleet.locality.LocalityRule.Match;
import weldhitch.fleet.locality.LocalityRule.SpillPolicy;

/** Tests zone selection, spillover, and the limit on the total spillover of all nodes. */
class ZoneSelectorTest {
    private static final long SECOND = 1_000_000_000L;
    private static final SpillPolicy SPILL_POLICY = spillPolicy(0.85, 0.7, 0.5, 0.8, 1, 0.02);
    private static final Regions REGIONS = new Regions(Map.of("west", Set.of("a", "b"), "east", Set.of("c", "d")));
    private static final List<String> ALL_LEVELS =
            List.of(LocalityRule.OWN_ZONE, LocalityRule.OWN_REGION, LocalityRule.ANY);

    private static SpillPolicy spillPolicy(
            double beginUtilization,
            double endUtilization,
            double beginHealthy,
            double endHealthy,
            double maxFraction,
            double uncoordinatedFraction) {
        return new SpillPolicy(
                new HysteresisBand(beginUtilization, endUtilization),
                new HysteresisBand(beginHealthy, endHealthy),
                new HysteresisBand(0.3, 0.1),
                5 * SECOND,
                maxFraction,
                0.2,
                uncoordinatedFraction);
    }

    private static LocalityRule rule(SpillPolicy policy, boolean panic, String... forbidden) {
        return new LocalityRule("r", Match.ALL, ALL_LEVELS, Set.of(forbidden), policy, panic);
    }

    @Test
    void priorityLevelsAreRelativeToTheOwnZoneAndNameEachZoneOnce() {
        Set<String> availableZones = Set.of("a", "b", "c", "d");
        assertEquals(
                List.of(Set.of("a"), Set.of("b"), Set.of("c", "d")),
                REGIONS.priorityLevels(rule(SPILL_POLICY, false), "a", availableZones));
        assertEquals(
                List.of(Set.of("c"), Set.of("d"), Set.of("a", "b")),
                REGIONS.priorityLevels(rule(SPILL_POLICY, false), "c", availableZones));
        assertEquals(
                List.of(Set.of("a"), Set.of("b")),
                REGIONS.priorityLevels(rule(SPILL_POLICY, false, "east"), "a", availableZones));
        assertEquals(
                List.of(Set.of("a"), Set.of("c")),
                REGIONS.priorityLevels(rule(SPILL_POLICY, false, "b", "d"), "a", availableZones));
        // A first level without an available zone remains the first. Otherwise the next level would take its place and
        // be filled without a limit.
        assertEquals(
                List.of(Set.of("a"), Set.of("b"), Set.of("c", "d")),
                REGIONS.priorityLevels(rule(SPILL_POLICY, false), "a", Set.of("b", "c", "d")));
        // A zone that is in none of the regions counts as a separate region.
        assertEquals(
                List.of(Set.of("x"), Set.of("a")),
                REGIONS.priorityLevels(rule(SPILL_POLICY, false), "x", Set.of("x", "a")));
        assertThrows(IllegalArgumentException.class, () -> new Regions(Map.of("w", Set.of("a"), "e", Set.of("a"))));
    }

    @Test
    void rulesWithoutHysteresisAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> spillPolicy(0.8, 0.8, 0.5, 0.8, 1, 0));
        assertThrows(IllegalArgumentException.class, () -> spillPolicy(0.8, 0.7, 0.8, 0.8, 1, 0));
        assertThrows(IllegalArgumentException.class, () -> spillPolicy(0.8, 0.7, 0.5, 0.8, 0.5, 0.6));
    }

    /**
     * A load that fluctuates around the threshold and is evaluated ten times a second causes at most one change per
     * dwell time.
     */
    @Test
    void loadAtTheThresholdChangesALevelNoMoreThanOncePerDwell() {
        PriorityLevelState state = new PriorityLevelState(SPILL_POLICY, 0);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 6000; i++) {
            long now = i * SECOND / 10;
            state.update(new ZoneView(1, 0.5 + 0.4 * random.nextDouble(), 0, 1000, now, 5), now);
        }
        assertTrue(state.transitions() <= 600 / 5 && state.transitions() > 10, "" + state.transitions());
    }

    /** The spill fraction of a level between its thresholds stays constant, because the spillover is just enough. */
    @Test
    void spillFractionIsConstantBetweenItsThresholds() {
        PriorityLevelState state = new PriorityLevelState(SPILL_POLICY, 0);
        state.update(view(1, 0.9), 0);
        state.update(view(1, 0.8), 2 * SECOND);
        double spillFraction = state.spillFraction(2 * SECOND);
        assertEquals(0.4, spillFraction, 1e-9);
        for (int seconds = 3; seconds < 60; seconds++) {
            state.update(view(1, 0.72 + 0.1 * (seconds % 2)), seconds * SECOND);
        }
        assertEquals(spillFraction, state.spillFraction(60 * SECOND), 1e-9);
        assertEquals(1, state.transitions());
        state.update(view(1, 0.5), 60 * SECOND);
        assertEquals(0.2, state.spillFraction(61 * SECOND), 1e-9);
        state.update(view(1, 0.5), 70 * SECOND);
        state.update(view(1, 0.5), 71 * SECOND);
        assertFalse(state.isSpilling());
    }

    private static ZoneView view(double healthyFraction, double utilization) {
        return new ZoneView(healthyFraction, utilization, 0, 1000, 0, 5);
    }

    private static Spillover spilloverAt(
            String ownZone,
            LocalityRule rule,
            SpillTokens spillTokens,
            Map<String, ZoneView> views,
            boolean hasCoordinators) {
        Spillover node = new Spillover(rule, REGIONS.priorityLevels(rule, ownZone, views.keySet()), spillTokens, 0);
        node.updateViews(views, hasCoordinators, 0);
        return node;
    }

    @Test
    void forbiddenZonesAreNeverSelectedEvenIfTheRequestIsRejected() {
        Spillover node = spilloverAt(
                "a",
                rule(SPILL_POLICY, true, "east"),
                new SpillTokens(),
                Map.of("a", view(0, 0), "b", view(0, 0), "c", view(1, 0)),
                false);
        for (int i = 0; i < 100; i++) {
            ZoneSelection selection = node.select(i / 100.0, i * SECOND);
            assertEquals(List.of(), selection.zones());
            assertEquals(List.of(), node.selectNext(selection, i * SECOND).zones());
        }
        assertTrue(node.hasNoAvailableZone());
    }

    /** When a zone is lost, requests without a token are rejected, or in panic mode go to any available zone. */
    @Test
    void unavailableZoneSpillsByTokensAndPanicFollowsTheRule() {
        for (boolean panic : new boolean[] {false, true}) {
            SpillTokens spillTokens = new SpillTokens();
            Spillover node = spilloverAt(
                    "a", rule(SPILL_POLICY, panic), spillTokens, Map.of("a", view(0, 0), "b", view(1, 0.2)), true);
            spillTokens.replaceGrant("b", new QuotaGrant(50, 100 * SECOND), 0);
            int sentCalls = 0;
            int paidCalls = 0;
            for (int i = 0; i < 1000; i++) {
                ZoneSelection selection = node.select(0.5, i * SECOND / 100);
                sentCalls += selection.zones().equals(List.of("b")) ? 1 : 0;
                paidCalls += selection.claimTokenPayment() ? 1 : 0;
                assertFalse(selection.claimTokenPayment(), "a token pays for one call");
            }
            assertTrue(panic ? sentCalls == 1000 : sentCalls > 480 && sentCalls < 520, panic + ": " + sentCalls);
            assertTrue(paidCalls > 480 && paidCalls < 520, "" + paidCalls);
        }
    }

    /**
     * If the coordinators report no spare capacity, nothing spills over; the uncoordinated fraction applies only if
     * there are no reports.
     */
    @Test
    void uncoordinatedFractionAppliesOnlyWithoutCoordinators() {
        Map<String, ZoneView> views = Map.of("a", view(1, 2), "b", view(1, 0.2));
        for (boolean hasCoordinators : new boolean[] {true, false}) {
            Spillover node = spilloverAt("a", rule(SPILL_POLICY, false), new SpillTokens(), views, hasCoordinators);
            int spilledCalls = 0;
            for (int i = 0; i < 10_000; i++) {
                long now = 10 * SECOND + i * SECOND / 1000;
                spilledCalls += node.select(0.1, now).priorityLevel() > 0 ? 1 : 0;
            }
            assertEquals(hasCoordinators ? 0 : 200, spilledCalls, 2);
        }
    }

    /**
     * A retry goes to the next level by a token, returns to the own zone, or stays where it is; it never goes to a
     * forbidden zone.
     */
    @Test
    void retryNeedsASpillTokenToo() {
        SpillTokens spillTokens = new SpillTokens();
        LocalityRule rule = rule(SPILL_POLICY, false, "d");
        Spillover node = spilloverAt(
                "a",
                rule,
                spillTokens,
                Map.of("a", view(1, 0.5), "b", view(1, 0.2), "c", view(1, 0.2), "d", view(1, 0)),
                true);
        ZoneSelection first = node.select(0.5, 0);
        assertEquals(List.of("a"), first.zones());
        assertEquals(first, node.selectNext(first, 0));
        spillTokens.replaceGrant("b", new QuotaGrant(4, 100 * SECOND), 0);
        ZoneSelection second = node.selectNext(first, SECOND);
        assertEquals(List.of("b"), second.zones());
        assertEquals(0, node.selectNext(second, SECOND).priorityLevel());
        spillTokens.replaceGrant("c", new QuotaGrant(4, 100 * SECOND), SECOND);
        assertEquals(List.of("c"), node.selectNext(second, 2 * SECOND).zones());
    }

    /**
     * A fresh fleet view takes precedence over the node's own view, but a zone that the node itself cannot reach counts
     * as unavailable.
     */
    @Test
    void staleFleetViewIsReplacedByTheLocalView() {
        ZoneSelector node = new ZoneSelector("n", "a", 10, 0.3, 5 * SECOND, true);
        node.updateEndpoints(true, List.of(endpoint("a0", "a"), endpoint("b0", "b")), 0);
        LocalityRules rules = new LocalityRules(REGIONS, 100, List.of(rule(SPILL_POLICY, false)));
        node.updateRules(rules, 0);
        FleetView.ZoneLoad overloaded = new FleetView.ZoneLoad(1, 2, 2, 0, 100, 0);
        FleetView.ZoneLoad idle = new FleetView.ZoneLoad(1, 0.1, 0.1, 0, 100, 0);
        node.onFleetView(new FleetView(Map.of("a", overloaded, "b", idle), Map.of(), SECOND, 10, 10), 0, 0);
        assertEquals(2, node.zoneViews(SECOND).get("a").utilization());
        assertTrue(node.hasFreshFleetView(SECOND));
        assertEquals(0, node.zoneViews(4 * SECOND).get("a").utilization(), 1e-9);
        assertTrue(node.tick(2 * SECOND).isEmpty(), "the view is fresh");
        assertTrue(node.tick(4 * SECOND).stream().anyMatch(line -> line.startsWith("stale-view: n:")), "view is stale");
        node.onFleetView(
                new FleetView(Map.of("a", overloaded, "b", idle), Map.of(), SECOND, 10, 10), 5 * SECOND, 5 * SECOND);
        assertTrue(node.tick(5 * SECOND).contains("fleet view fresh again reporters=10"));
        node.onFleetView(
                new FleetView(Map.of("a", idle, "b", idle), Map.of(), SECOND, 10, 10), 10 * SECOND, 10 * SECOND);
        for (int i = 0; i < 6; i++) {
            node.onAttemptEnded("a0", CallResult.FAILED, false, 10 * SECOND, 10 * SECOND);
        }
        assertEquals(0, node.zoneViews(10 * SECOND).get("a").healthyFraction(), "the node's own view is worse");
        assertEquals(1, node.zoneViews(10 * SECOND).get("b").healthyFraction());
        // A zone counts as failing for a limited time only; otherwise it would never be tried again.
        assertEquals(1, node.zoneViews(14 * SECOND).get("a").healthyFraction());
    }

    private static ZoneEndpoint endpoint(String name, String zone) {
        return new ZoneEndpoint(name, zone, 1, 0, true, false);
    }

    /**
     * In a zone with one endpoint, one failure may be accidental, and two mean that the zone is lost. It is tried again
     * later, and its load returns gradually.
     */
    @Test
    void zoneOfOneEndpointFailsAndRecoversWithIt() {
        ZoneSelector node = new ZoneSelector("n", "a", 1, 0.3, 5 * SECOND, false);
        node.updateEndpoints(true, List.of(endpoint("a0", "a"), endpoint("b0", "b")), 0);
        node.updateRules(
                new LocalityRules(REGIONS, 100, List.of(rule(spillPolicy(0.85, 0.7, 0.5, 0.8, 1, 1), true))), 0);
        node.onAttemptEnded("a0", CallResult.FAILED, false, 0, 0);
        node.tick(0);
        assertEquals(List.of("a"), node.select("read", null, null, 0.99, 0).zones());
        node.onAttemptEnded("a0", CallResult.FAILED, false, 1, SECOND);
        node.tick(SECOND);
        assertEquals(List.of("b"), node.select("read", null, null, 0.99, SECOND).zones());
        node.tick(5 * SECOND);
        assertEquals(
                List.of("b"), node.select("read", null, null, 0.5, 5 * SECOND).zones(), "the load returns gradually");
        node.tick(8 * SECOND);
        assertEquals(
                List.of("a"), node.select("read", null, null, 0.5, 8 * SECOND).zones());
    }

    @Test
    void ruleWithoutAPermittedZoneIsLoggedAndSoIsItsRecovery() {
        ZoneSelector node = new ZoneSelector("n", "a", 1, 0.3, 5 * SECOND, true);
        node.updateEndpoints(true, List.of(endpoint("a0", "a"), endpoint("c0", "c")), 0);
        node.updateRules(new LocalityRules(REGIONS, 100, List.of(rule(SPILL_POLICY, true, "east"))), 0);
        node.updateEndpoints(false, List.of(new ZoneEndpoint("a0", "a", 1, 0, false, true)), SECOND);
        assertTrue(node.tick(SECOND).stream()
                .anyMatch(l -> l.startsWith("rule-impossible: n: locality rule r permits no available zone")));
        assertEquals(List.of(), node.select("read", null, null, 0.5, SECOND).zones());
        node.updateEndpoints(false, List.of(endpoint("a1", "a")), 2 * SECOND);
        assertTrue(node.tick(2 * SECOND).stream().anyMatch(line -> line.contains("has a permitted zone again")));
        assertEquals(
                List.of("a"), node.select("read", null, null, 0.5, 10 * SECOND).zones());
    }

    @Test
    void firstMatchingRuleAppliesAndVersionsDifferByIt() {
        LocalityRule records = new LocalityRule(
                "records", new Match("records", null, null), ALL_LEVELS, Set.of("east"), SPILL_POLICY, false);
        LocalityRule clinic = new LocalityRule(
                "clinic", new Match(null, "clinic-a", null), ALL_LEVELS, Set.of(), SPILL_POLICY, false);
        LocalityRules twoRules = new LocalityRules(REGIONS, 100, List.of(records, clinic));
        assertEquals(records, twoRules.ruleFor("records", "clinic-a", null));
        assertEquals(clinic, twoRules.ruleFor("read", "clinic-a", null));
        assertEquals(null, twoRules.ruleFor("read", "clinic-b", null));
        LocalityRules oneRule = new LocalityRules(REGIONS, 100, List.of(records));
        LocalityRules otherRegions = new LocalityRules(new Regions(Map.of()), 100, twoRules.rules());
        assertTrue(differ(twoRules, oneRule, "read", "clinic-a"));
        assertFalse(differ(twoRules, oneRule, "read", "clinic-b"));
        assertFalse(differ(twoRules, oneRule, "records", "clinic-a"));
        assertTrue(differ(twoRules, otherRegions, "records", null));
        assertTrue(differ(null, oneRule, "records", null));
    }

    private static boolean differ(
            LocalityRules firstRules, LocalityRules secondRules, String requestClass, String tenant) {
        return LocalityRules.differ(
                firstRules,
                firstRules == null ? null : firstRules.ruleFor(requestClass, tenant, null),
                secondRules,
                secondRules.ruleFor(requestClass, tenant, null));
    }

    /**
     * The outstanding grants stay within the zone's headroom when grants are lost, late or duplicated and nodes join
     * and leave.
     */
    @Test
    void grantsNeverExceedTheHeadroom() {
        SplittableRandom random = new SplittableRandom(7);
        for (int run = 0; run < 200; run++) {
            QuotaAllocator allocator = new QuotaAllocator(SECOND);
            // The rate and the expiry time of each grant.
            Map<String, List<double[]>> grantsByNode = new TreeMap<>();
            double headroom = 100;
            TreeMap<Long, Double> headroomByTime = new TreeMap<>(Map.of(0L, headroom));
            for (int i = 0; i < 300; i++) {
                long now = i * SECOND / 20;
                if (random.nextInt(40) == 0) {
                    headroom = random.nextInt(200);
                }
                headroomByTime.put(now, headroom);
                String node = "n" + random.nextInt(12);
                if (random.nextInt(10) == 0) {
                    allocator.removeNode(node);
                } else {
                    allocator.updateDemand(node, "z", random.nextInt(60));
                    double grantedRate = allocator.grant(node, "z", headroom, now);
                    // The response arrives late, twice or never. The grant may be used for up to a second after it was
                    // issued.
                    if (random.nextInt(4) > 0) {
                        grantsByNode
                                .computeIfAbsent(node, n -> new ArrayList<>())
                                .add(new double[] {grantedRate, now + SECOND});
                    }
                }
                double maxHeadroom = headroomByTime.tailMap(now - SECOND).values().stream()
                        .mapToDouble(d -> d)
                        .max()
                        .orElseThrow();
                double totalRate = grantsByNode.values().stream()
                        .mapToDouble(grants -> grants.stream()
                                .filter(g -> g[1] > now)
                                .mapToDouble(g -> g[0])
                                .max()
                                .orElse(0))
                        .sum();
                assertTrue(
                        totalRate <= maxHeadroom + 1e-6 && allocator.outstanding("z", now) <= maxHeadroom + 1e-6,
                        "run " + run + ": granted " + totalRate + ", headroom " + maxHeadroom);
            }
        }
    }

    @Test
    void headroomIsSplitFairlyAndCompletely() {
        QuotaAllocator allocator = new QuotaAllocator(SECOND);
        allocator.updateDemand("small", "z", 10);
        allocator.updateDemand("one", "z", 500);
        allocator.updateDemand("two", "z", 500);
        assertEquals(10, allocator.grant("small", "z", 100, 0), 1e-9);
        assertEquals(45, allocator.grant("one", "z", 100, 0), 1e-9);
        assertEquals(45, allocator.grant("two", "z", 100, 0), 1e-9);
    }
}
