package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.testkit.TestSupport;
import weldhitch.testkit.fleet.CapacityLimitedDiscovery.RecordedCall;

/**
 * End-to-end test of the start after a power cut, with processes of nodes and coordinators. The discovery service is
 * unavailable until all nodes listen, and nodes get poll slots for their first polls.
 */
class StartupPollSlotsIT {
    private static final int NODES = Integer.getInteger("weldhitch.fleet.nodes", 12);

    /**
     * Checks that all nodes get the endpoint list in time, and that they do so without a leader too: poll slots are an
     * optimisation, and no node may wait forever for one.
     *
     * @param killLeader whether the leader is killed as the discovery service becomes available again
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void allNodesPollInTheirSlotsAndNoneWaitsForever(boolean killLeader) throws Exception {
        try (CoordinatedFleet fleet = new CoordinatedFleet(NODES, 3, 3, null)) {
            fleet.startCoordinators();
            String leader = fleet.leader();
            fleet.discovery.makeUnavailable();
            fleet.start(Math.max(50, 4L * NODES));
            for (var node : fleet.nodes.values()) {
                node.awaitPort();
            }
            long serviceBackAt = fleet.eventLog.elapsedNanos();
            fleet.discovery.makeAvailable();
            if (killLeader) {
                fleet.processes.get(leader).signal("KILL");
            }
            TestSupport.await(() -> fleet.discovery.allNotified(fleet.nodes.keySet()));
            long allListedAt = fleet.eventLog.elapsedNanos();
            fleet.awaitAllReady();
            List<Long> completeListCalls = fleet.discovery.calls().stream()
                    .filter(c -> c.completeList() && c.atNanos() >= serviceBackAt)
                    .map(RecordedCall::atNanos)
                    .sorted()
                    .toList();
            int peak = 0;
            for (int windowStart = 0, windowEnd = 0; windowEnd < completeListCalls.size(); windowEnd++) {
                while (completeListCalls.get(windowEnd) - completeListCalls.get(windowStart) > 100_000_000L) {
                    windowStart++;
                }
                peak = Math.max(peak, windowEnd - windowStart + 1);
            }
            System.out.println(String.format(
                    Locale.ROOT,
                    "%d nodes, leader %s: all nodes had the list %.2f s after the service was back; complete list "
                            + "polls: %d, peak %d"
                            + " in 100 ms; peak of all polls: %d in 100 ms",
                    NODES,
                    killLeader ? "killed" : "running",
                    (allListedAt - serviceBackAt) / 1e9,
                    completeListCalls.size(),
                    peak,
                    fleet.discovery.peakCalls(100)));
            assertTrue(
                    allListedAt - serviceBackAt < 10_000_000_000L,
                    "seconds until all nodes had the list: " + (allListedAt - serviceBackAt) / 1e9);
            TestSupport.await(() -> fleet.loadGenerator.requests().size() >= 10 * NODES);
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), fleet.eventLog.tail(60));
        }
    }
}
