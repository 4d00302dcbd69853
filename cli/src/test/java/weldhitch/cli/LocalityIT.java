package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.TestSupport;
import weldhitch.testkit.fleet.Fault;
import weldhitch.testkit.fleet.LoadGenerator.RequestRecord;
import weldhitch.testkit.fleet.ManagedProcess;

/**
 * End-to-end test of locality rules with processes of twelve nodes, in three zones of two regions, and of three
 * coordinators, with faults between them.
 */
class LocalityIT {
    private static final long SECOND = 1_000_000_000L;
    private static final int SERVERS_PER_ZONE = 3;
    /** The configured capacity of a server, in requests a second. */
    private static final double CAPACITY_PER_SERVER = 40;

    private static final double TARGET_UTILIZATION = 0.85;

    /**
     * Six nodes in zone a, three each in b and c; a and b form one region, c the other. All nodes reach the servers of
     * zone a by shared links.
     */
    private static final class ZonedFleet extends CoordinatedFleet {
        ZonedFleet() throws Exception {
            super(12, 3, 3 * SERVERS_PER_ZONE, null);
        }

        @Override
        protected String zoneOf(String server) {
            return String.valueOf((char) ('a' + Integer.parseInt(server.substring(1)) / SERVERS_PER_ZONE));
        }

        @Override
        protected boolean usesSharedLink(ScriptedHttpServer server) {
            return zoneOf(server.name()).equals("a");
        }

        @Override
        protected String customizeConfig(String node, String text) {
            int number = Integer.parseInt(node.substring(1));
            return text.replace(
                    "\"areas\":[\"a\"],\"az\":\"a\"",
                    "\"areas\":[\"a\",\"b\",\"c\"],\"az\":\"" + zoneOfNode(number) + "\"");
        }

        static String zoneOfNode(int number) {
            return number < 6 ? "a" : number < 9 ? "b" : "c";
        }

        /** Adds a client to each node of a zone. */
        void addZoneLoad(String zone, long intervalMillis) {
            for (int nodeIndex = 0; nodeIndex < 12; nodeIndex++) {
                if (zoneOfNode(nodeIndex).equals(zone)) {
                    loadGenerator.addClient(nodes.get("n" + nodeIndex), intervalMillis);
                }
            }
        }

        /**
         * Returns the most requests in any two seconds of the period, by zone, as a fraction of its servers' capacity.
         */
        Map<String, Double> peaks(long fromNanos, long toNanos) {
            Map<String, Double> peaks = new TreeMap<>();
            callTimes(fromNanos, toNanos).forEach((zone, callTimes) -> {
                int peakCalls = 0;
                for (int windowStart = 0, windowEnd = 0; windowEnd < callTimes.size(); windowEnd++) {
                    while (callTimes.get(windowEnd) - callTimes.get(windowStart) > 2 * SECOND) {
                        windowStart++;
                    }
                    peakCalls = Math.max(peakCalls, windowEnd - windowStart + 1);
                }
                peaks.put(zone, Math.round(peakCalls / 2.0 / (SERVERS_PER_ZONE * CAPACITY_PER_SERVER) * 1000) / 1000.0);
            });
            return peaks;
        }

        /**
         * Returns the arrival times of requests at the servers of each zone, sorted, in nanoseconds on the event
         * log's clock.
         */
        Map<String, List<Long>> callTimes(long fromNanos, long toNanos) {
            long eventLogStart = System.nanoTime() - eventLog.elapsedNanos();
            Map<String, List<Long>> calls = new TreeMap<>();
            for (ScriptedHttpServer server : servers) {
                List<Long> zoneCallTimes = calls.computeIfAbsent(zoneOf(server.name()), z -> new ArrayList<>());
                server.receivedRequests().stream()
                        .map(received -> received.receivedAtNanos() - eventLogStart)
                        .filter(receivedAt -> receivedAt >= fromNanos && receivedAt < toNanos)
                        .forEach(zoneCallTimes::add);
            }
            calls.values().forEach(receivedAt -> receivedAt.sort(null));
            return calls;
        }

        /**
         * Returns the ids of the requests that a server received after {@code fromNanos}. Leaves out the first half
         * second, because requests that were in flight at {@code fromNanos} may arrive in it.
         */
        Stream<String> requestIdsSince(ScriptedHttpServer server, long fromNanos) {
            long eventLogStart = System.nanoTime() - eventLog.elapsedNanos();
            return server.receivedRequests().stream()
                    .filter(received -> received.receivedAtNanos() - eventLogStart > fromNanos + SECOND / 2)
                    .map(ScriptedHttpServer.ReceivedRequest::id);
        }

        int callCount(String zone, long fromNanos, long toNanos) {
            return callTimes(fromNanos, toNanos).getOrDefault(zone, List.of()).size();
        }

        List<String> linksTo(String target) {
            return links.keySet().stream()
                    .filter(e -> e.matches("n\\d+>" + target))
                    .toList();
        }
    }

    /**
     * Returns a route configuration whose locality rules keep class {@code book} in its region and let all other
     * classes prefer their zone, then their region.
     *
     * @param extraPreferences further priority levels of the other classes
     * @param uncoordinatedFraction largest fraction of requests that may spill over without a view from the
     *     coordinators
     */
    private static String localityRules(String extraPreferences, double uncoordinatedFraction) {
        String spillKeys = "dwell = \"1s\"\ngrowth = 0.4\nalone = " + uncoordinatedFraction + "\n";
        return "version = 1\n[zones]\nrate = " + CAPACITY_PER_SERVER
                + "\n[zones.regions]\nwest = [\"a\", \"b\"]\neast = [\"c\"]\n"
                + "[[locality]]\nname = \"book\"\nclass = \"book\"\nprefer = [\"own-zone\", "
                + "\"own-region\"]\npanic = false\n"
                + spillKeys
                + "[[locality]]\nname = \"all\"\nprefer = [\"own-zone\", \"own-region\"" + extraPreferences + "]\n"
                + spillKeys
                + "# end\n";
    }

    @Test
    void quotasBoundSpilloverWhileZonesFailAndRecover() throws Exception {
        try (ZonedFleet fleet = new ZonedFleet()) {
            fleet.startCoordinators();
            fleet.start(0);
            fleet.awaitAllReady();
            fleet.addZoneLoad("a", 50);
            fleet.addZoneLoad("b", 60);
            fleet.addZoneLoad("c", 60);
            fleet.submit(fleet.leader(), localityRules(", \"any\"", 0.02));
            fleet.awaitActive(1);

            // Phase 1: no fault; all requests stay in their zones.
            long baselineFrom = fleet.eventLog.elapsedNanos();
            fleet.waitFor(2000);
            int baselineCallsToB = fleet.callCount("b", baselineFrom, baselineFrom + 2 * SECOND);

            // Phase 2: the load on zone a exceeds its capacity, and the excess spills to b and c by quota grants. Class
            // book spills only to b, which is in the same region.
            fleet.addZoneLoad("a", 50);
            long overloadFrom = fleet.eventLog.elapsedNanos();
            fleet.waitFor(8000);
            Map<String, Double> peaks = fleet.peaks(overloadFrom, fleet.eventLog.elapsedNanos());
            int spilledCallsToB =
                    fleet.callCount("b", overloadFrom + 6 * SECOND, overloadFrom + 8 * SECOND) - baselineCallsToB;

            // Phase 3: the leader is killed and restarted; after a while another leader grants quotas.
            String leader = fleet.leader();
            fleet.processes.get(leader).signal("KILL");
            long killedAt = fleet.eventLog.elapsedNanos();
            fleet.waitFor(5000);
            fleet.processes.get(leader).start();
            Map<String, Double> peaksAtLeaderChange = fleet.peaks(killedAt, fleet.eventLog.elapsedNanos());

            // Phase 4: the servers of zone a are unreachable from all nodes for 5 s.
            long zoneLostAt = fleet.eventLog.elapsedNanos();
            fleet.faultInjector.runSchedule(fleet.links.keySet().stream()
                    .filter(e -> e.startsWith("*>"))
                    .map(e -> new Fault(0, Fault.Kind.RESET, e, 5000, 0))
                    .toList());
            long zoneBackAt = fleet.eventLog.elapsedNanos();
            Map<String, Double> peaksDuringZoneLoss = fleet.peaks(zoneLostAt, zoneBackAt);
            fleet.waitFor(1000);
            int callsInFirstSecond = fleet.callCount("a", zoneBackAt, zoneBackAt + SECOND);
            TestSupport.await(
                    () -> fleet.callCount("a", fleet.eventLog.elapsedNanos() - SECOND, fleet.eventLog.elapsedNanos())
                            > 0.5 * SERVERS_PER_ZONE * CAPACITY_PER_SERVER);

            // Phase 5: no coordinator is reachable for 6 s. Nodes use their local view and spill at most the
            // uncoordinated fraction; class book stays in its region as before.
            List<Fault> linkFaults = new ArrayList<>();
            for (String coordinator : fleet.coordinators()) {
                fleet.linksTo(coordinator)
                        .forEach(e -> linkFaults.add(new Fault(0, Fault.Kind.DROP_TO_CLIENT, e, 6000, 0)));
            }
            long coordinatorsLostAt = fleet.eventLog.elapsedNanos();
            fleet.faultInjector.runSchedule(linkFaults);
            int callsToCWithoutCoordinators =
                    fleet.callCount("c", coordinatorsLostAt + 5 * SECOND, coordinatorsLostAt + 6 * SECOND);

            // Phase 6: during the spillover a version is activated by which no request leaves its region.
            fleet.submit(fleet.leader(), localityRules("", 0.02));
            fleet.awaitActive(2);
            fleet.waitFor(500);
            long regionOnlyFrom = fleet.eventLog.elapsedNanos();
            fleet.waitFor(2000);
            long endedAt = fleet.eventLog.elapsedNanos();

            List<String> violations = fleet.stopAndCheckInvariants(false);
            System.out.println(String.format(
                    Locale.ROOT,
                    "peaks under overload %s, at a change of leader %s, while a was lost %s; spilled to b %d in 2 s;"
                            + " requests to a in the first second of its return %d; to c in a second without "
                            + "coordinators %d; requests %d, rejected %d",
                    peaks,
                    peaksAtLeaderChange,
                    peaksDuringZoneLoss,
                    spilledCallsToB,
                    callsInFirstSecond,
                    callsToCWithoutCoordinators,
                    fleet.loadGenerator.requests().size(),
                    fleet.loadGenerator.requests().stream()
                            .filter(RequestRecord::isRejected)
                            .count()));
            assertEquals(List.of(), violations, fleet.eventLog.tail(60));
            for (ScriptedHttpServer server : fleet.servers) {
                boolean isEast = fleet.zoneOf(server.name()).equals("c");
                assertTrue(
                        !isEast
                                || fleet.requestIdsSince(server, baselineFrom)
                                        .noneMatch(id -> isBooking(id) && isFromWest(id)),
                        "a request of class book left its region");
            }
            assertTrue(spilledCallsToB > 20, "too few requests spilled to zone b: " + spilledCallsToB);
            // The peak is taken over 2 s, which contain about 200 requests. Between runs of one build it varies by a
            // tenth (0.84 to 0.90), depending on chance, the clients' timing and the machine; without coordination it
            // exceeds 1.2. FleetSpilloverTest checks the bound of the quota grants to 5%.
            for (Map<String, Double> peakByZone : List.of(peaks, peaksAtLeaderChange, peaksDuringZoneLoss)) {
                assertTrue(
                        peakByZone.get("b") <= TARGET_UTILIZATION * 1.2
                                && peakByZone.get("c") <= TARGET_UTILIZATION * 1.2,
                        "utilization exceeds the target by more than 20%: " + peakByZone);
            }
            assertTrue(
                    callsInFirstSecond < 0.6 * SERVERS_PER_ZONE * CAPACITY_PER_SERVER,
                    "too many requests to zone a in the first second of its return: " + callsInFirstSecond);
            assertTrue(
                    fleet.callCount("c", regionOnlyFrom, endedAt) <= 1.15 * 3 * 2 * 1000 / 65 + 10,
                    "zone c received more requests than its own clients send: "
                            + fleet.callCount("c", regionOnlyFrom, endedAt));
            assertTrue(
                    fleet.eventLog.entries().stream().anyMatch(e -> e.event().contains("stale-view: n")),
                    "no node logged a stale view");
        }
    }

    private static boolean isBooking(String id) {
        return Integer.parseInt(id.replaceFirst(".*-", "")) % 2 == 1;
    }

    private static boolean isFromWest(String id) {
        return !ZonedFleet.zoneOfNode(Integer.parseInt(id.replaceFirst("^n", "").replaceFirst("-.*", "")))
                .equals("c");
    }

    /**
     * All coordinators are killed before there is a zone view of any rule. Nodes must route by their local view, and
     * even while a zone is lost no request of class {@code book} may leave its region.
     */
    @Test
    void withoutCoordinatorsNodesRouteByTheirLocalView() throws Exception {
        try (ZonedFleet fleet = new ZonedFleet()) {
            fleet.startCoordinators();
            fleet.start(0);
            fleet.awaitAllReady();
            for (String zone : List.of("a", "b", "c")) {
                fleet.addZoneLoad(zone, 60);
            }
            fleet.submit(fleet.leader(), localityRules(", \"any\"", 0.3));
            fleet.awaitActive(1);
            long rulesActiveFrom = fleet.eventLog.elapsedNanos();
            fleet.coordinators().forEach(s -> {
                try {
                    fleet.processes.get(s).signal("KILL");
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            });
            for (ManagedProcess node : fleet.nodes.values()) {
                fleet.eventLog.awaitEntry(
                        0, 20, e -> e.source().equals(node.name()) && e.event().contains("stale-view"));
            }
            long zoneLostAt = fleet.eventLog.elapsedNanos();
            fleet.faultInjector.runSchedule(fleet.links.keySet().stream()
                    .filter(e -> e.startsWith("*>"))
                    .map(e -> new Fault(0, Fault.Kind.RESET, e, 4000, 0))
                    .toList());
            long zoneBackAt = fleet.eventLog.elapsedNanos();
            TestSupport.await(() ->
                    fleet.callCount("a", fleet.eventLog.elapsedNanos() - SECOND, fleet.eventLog.elapsedNanos()) > 30);
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), fleet.eventLog.tail(60));
            long servedLookups = fleet.loadGenerator.requests().stream()
                    .filter(request -> request.node().compareTo("n6") < 0
                                    && !request.node().startsWith("n1")
                            || request.node().equals("n1"))
                    .filter(request -> !request.unsafe()
                            && request.sentAt() > zoneLostAt + SECOND
                            && request.sentAt() < zoneBackAt
                            && request.status() == 200)
                    .count();
            System.out.println("without coordinators, zone a lost: idempotent requests to its nodes served in 3 s "
                    + servedLookups);
            // While zone a has no server, panic mode lets idempotent requests go to any zone with servers. Class book
            // has panic mode off: it may spill only to zone b, and at most by the uncoordinated fraction.
            assertTrue(servedLookups > 20, "too few idempotent requests served: " + servedLookups);
            for (ScriptedHttpServer server : fleet.servers) {
                assertTrue(
                        !fleet.zoneOf(server.name()).equals("c")
                                || fleet.requestIdsSince(server, rulesActiveFrom)
                                        .noneMatch(id -> isBooking(id) && isFromWest(id)),
                        "a request of class book left its region");
            }
        }
    }
}
