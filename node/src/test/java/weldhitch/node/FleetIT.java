package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.testkit.TestSupport;
import weldhitch.testkit.fleet.CapacityLimitedDiscovery;
import weldhitch.testkit.fleet.Fault;
import weldhitch.testkit.fleet.InvariantChecker;
import weldhitch.testkit.fleet.LoadGenerator.Completion;
import weldhitch.testkit.fleet.LoadGenerator.RequestRecord;
import weldhitch.testkit.fleet.NodeFleet;

/**
 * Runs many processes of the packaged node with faults between them. If an invariant is violated, the failure message
 * contains the latest events, and the seed and the fault schedule if faults were injected.
 */
class FleetIT {
    private static final int NODES = Integer.getInteger("weldhitch.fleet.nodes", 12);
    private static final int SERVERS = Integer.getInteger("weldhitch.fleet.servers", 6);
    /** Processing time of each request at a server, in milliseconds. */
    private static final long SERVER_MS = 20;
    /**
     * Capacity of a server once warm, in requests per second. It is far above the offered load, because the tested rule
     * concerns endpoints that are warming up.
     */
    private static final double WARM_PER_SECOND = 30;

    /**
     * Simulates a power failure: all nodes start simultaneously, the servers have just started and are warming up, and
     * discovery is unavailable for the first seconds.
     */
    @Test
    void simultaneousStartOverloadsNeitherDiscoveryNorServers() throws Exception {
        long startedAtMillis = System.currentTimeMillis();
        try (NodeFleet fleet = new NodeFleet(
                NODES,
                SERVERS,
                SERVER_MS,
                startedAtMillis,
                false,
                c -> new CapacityLimitedDiscovery(c, 2000, 200, 100))) {
            long startedAt = fleet.eventLog.elapsedNanos();
            fleet.discovery.makeUnavailable();
            fleet.start(Math.max(100, NODES * 8L));
            for (var node : fleet.nodes.values()) {
                node.awaitPort();
            }
            long listeningAt = fleet.eventLog.elapsedNanos();
            fleet.discovery.makeAvailable();
            long resumedAt = fleet.eventLog.elapsedNanos();
            TestSupport.await(() -> fleet.discovery.allNotified(fleet.nodes.keySet()));
            long allListedAt = fleet.eventLog.elapsedNanos();
            long allReadyAt = fleet.awaitAllReady();
            long fullLists = fleet.discovery.calls().stream()
                    .filter(c -> c.atNanos() >= resumedAt && c.completeList())
                    .count();
            TestSupport.await(() -> fleet.loadGenerator.requests().size() >= Math.max(240, 5 * NODES));
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), fleet.eventLog.tail(60));
            InvariantChecker checker = new InvariantChecker(fleet.eventLog, fleet.faultInjector, fleet.servers);
            fleet.servers.forEach(s -> assertEquals(
                    List.of(), checker.slowStartOverloads(s, startedAt, WARM_PER_SECOND, 0.3, 5000, 3, 3000)));
            List<RequestRecord> requests = fleet.loadGenerator.requests();
            System.out.println(String.format(
                    Locale.ROOT,
                    "cold start of %d nodes, %d servers: all nodes listen after %.2f s, then discovery"
                            + " resumes; time from then until all have the list %.2f s, until all are ready %.2f s;"
                            + " discovery calls %d,"
                            + " complete lists %d, peak %d calls in 100 ms; peak connections"
                            + " to a server in 100 ms %d; requests %d, served %d, rejected %d, lost 0",
                    NODES,
                    SERVERS,
                    listeningAt / 1e9,
                    (allListedAt - resumedAt) / 1e9,
                    (allReadyAt - resumedAt) / 1e9,
                    fleet.discovery.calls().size(),
                    fullLists,
                    fleet.discovery.peakCalls(100),
                    fleet.servers.stream()
                            .mapToInt(s -> s.peakConnections(100))
                            .max()
                            .orElse(0),
                    requests.size(),
                    requests.stream().filter(a -> a.status() == 200).count(),
                    requests.stream().filter(RequestRecord::isRejected).count()));
            assertTrue(
                    allListedAt - resumedAt < 10_000_000_000L && allReadyAt - resumedAt < 10_000_000_000L,
                    "time until all nodes had the list, ns: " + (allListedAt - resumedAt));
            assertTrue(fullLists <= NODES, "complete lists requested: " + fullLists);
        }
    }

    /**
     * Injects faults drawn from a seed into nodes and links, with a drain among them and with clients that disconnect
     * early. The invariants must hold, and all nodes must recover.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void invariantsHoldUnderSeededFaults(long seed) throws Exception {
        long runs = Long.getLong("weldhitch.fleet.plays", 1);
        for (long run = 0; run < runs; run++) {
            runUnderFaults(seed + 2 * run);
        }
    }

    private static void runUnderFaults(long seed) throws Exception {
        try (NodeFleet fleet = new NodeFleet(5, 4, 10, 0, true, c -> new CapacityLimitedDiscovery(c, 1000, 100, 100))) {
            fleet.start(25);
            fleet.awaitAllReady();
            fleet.nodes.values().forEach(n -> fleet.loadGenerator.addImpatientClient(n, 20, 150));
            List<Fault> schedule = Fault.randomSchedule(
                    seed, List.copyOf(fleet.nodes.keySet()), List.copyOf(fleet.links.keySet()), 8000, 14);
            String description = "seed " + seed + "\n" + Fault.format(schedule);
            Thread drain = TestSupport.startDaemon(() -> {
                fleet.eventLog.awaitEntry(0, 20, e -> e.source().equals("fault"));
                fleet.discovery.put("s0", "draining", 0);
            });
            fleet.faultInjector.runSchedule(schedule);
            drain.join(20_000);
            long faultsEndedAt = fleet.eventLog.elapsedNanos();
            // The fleet has recovered when every node serves its clients again.
            TestSupport.await(() -> recoveredNodes(fleet, faultsEndedAt).size() == fleet.nodes.size());
            assertEquals(List.of(), fleet.stopAndCheckInvariants(true), description + "\n" + fleet.eventLog.tail(60));
            Map<Completion, Integer> counts = new HashMap<>();
            fleet.loadGenerator.requests().forEach(a -> counts.merge(a.completion(), 1, Integer::sum));
            System.out.println("seed " + seed + ": " + schedule.size() + " faults, requests by completion " + counts);
        }
    }

    private static List<String> recoveredNodes(NodeFleet fleet, long since) {
        List<String> serving = new ArrayList<>();
        for (String name : fleet.nodes.keySet()) {
            if (fleet.loadGenerator.requests().stream()
                    .anyMatch(a -> a.node().equals(name) && a.sentAt() > since && a.status() == 200)) {
                serving.add(name);
            }
        }
        return serving;
    }
}
