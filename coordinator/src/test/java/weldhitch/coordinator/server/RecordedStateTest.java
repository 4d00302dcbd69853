package weldhitch.coordinator.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.Ballot;
import weldhitch.coordinator.core.FleetState;
import weldhitch.coordinator.core.MissingMemberPolicy;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.RouteVersion;
import weldhitch.statelog.StateLog;

/**
 * Tests that state logs of version 32a2790 are readable. The logs were written by leaders and followers, with a route
 * version pending, committed, finalized and aborted, and one during a proposal. The files must never be recorded again.
 */
class RecordedStateTest {
    private static final Path RECORDED = Path.of("coordinator/src/test/resources/weldhitch/recorded");
    private static final LeaseTiming TIMING =
            new LeaseTiming(200_000_000L, 300_000_000L, 50_000_000L, 1_000_000_000L, 0.002);

    @TempDir
    Path directory;

    private AcceptorState read(String name) throws IOException {
        Path copy = Files.copy(RECORDED.resolve(name), directory.resolve(name));
        try (StateLog log = StateLog.open(copy, 1 << 20)) {
            assertFalse(log.suspect());
            assertEquals(0, log.truncatedBytes());
            AcceptorState state = CoordinatorJson.JSON.readValue(log.state(), AcceptorState.class);
            assertEquals(
                    CoordinatorJson.JSON.readTree(log.state()),
                    CoordinatorJson.JSON.readTree(CoordinatorJson.JSON.writeValueAsBytes(state)),
                    "the state must be written back in the same form");
            return state;
        }
    }

    private FleetState fleetState(String name) throws IOException {
        FleetState fleetState = FleetState.fromCommitted(read(name).committed());
        assertEquals(Map.of("n1", "n1#1", "n2", "n2#1"), fleetState.members());
        return fleetState;
    }

    @ParameterizedTest
    @CsvSource({"leader", "follower"})
    void aPendingVersionIsPendingAfterTheUpgrade(String role) throws IOException {
        FleetState fleetState = fleetState("state-pending-" + role + ".log");
        assertEquals(RouteVersion.OWN_FILE, fleetState.activeVersion());
        assertEquals(new RouteVersion(1, "abc"), fleetState.pendingVersion());
        assertNull(fleetState.outcome());
        assertEquals(List.of("v1.toml:abc:1"), fleetState.submissionIds());
        assertTrue(fleetState.bundleOf(1).startsWith("version = 1\n"));
    }

    @ParameterizedTest
    @CsvSource({"leader", "follower"})
    void aCommittedVersionKeepsItsActivationTimeAfterTheUpgrade(String role) throws IOException {
        FleetState fleetState = fleetState("state-committed-" + role + ".log");
        assertEquals(new RouteVersion(1, "abc"), fleetState.pendingVersion());
        assertTrue(fleetState.outcome().committed());
        assertEquals(1, fleetState.outcome().version());
        assertTrue(fleetState.outcome().activationTime() > 0);
        assertNotNull(fleetState.outcome().clockId());
    }

    @ParameterizedTest
    @CsvSource({"leader", "follower"})
    void aFinalizedVersionIsActiveAfterTheUpgrade(String role) throws IOException {
        FleetState fleetState = fleetState("state-settled-" + role + ".log");
        assertEquals(new RouteVersion(1, "abc"), fleetState.activeVersion());
        assertNull(fleetState.pendingVersion());
    }

    @ParameterizedTest
    @CsvSource({"leader", "follower"})
    void anAbortedVersionStaysAbortedAfterTheUpgrade(String role) throws IOException {
        FleetState fleetState = fleetState("state-aborted-" + role + ".log");
        assertEquals(new RouteVersion(1, "abc"), fleetState.activeVersion());
        assertNull(fleetState.pendingVersion());
        assertFalse(fleetState.outcome().committed());
        assertEquals(2, fleetState.outcome().version());
        assertTrue(
                fleetState.outcome().reasons().get(0).endsWith("v.toml:3: deadline: is no span"),
                fleetState.outcome().reasons().toString());
        assertEquals(2, fleetState.lastVersionNumber());
    }

    @Test
    void aProposalInProgressKeepsItsPromiseAndItsAcceptedValue() throws IOException {
        AcceptorState state = read("state-undecided-follower.log");
        assertEquals(new Ballot(9, "s3/y"), state.promised());
        assertEquals(new Ballot(8, "s1/x"), state.acceptedBallot());
        assertEquals("o-1", state.accepted().command().id());
        assertEquals(state.committed().generation() + 1, state.generation());
    }

    /** Starts a complete process on a log of the earlier version, which restores its state and continues from there. */
    @Test
    void aProcessStartsOnTheStateOfTheEarlierVersion() throws Exception {
        Files.copy(RECORDED.resolve("state-settled-leader.log"), directory.resolve("steward.log"));
        List<String> log = new CopyOnWriteArrayList<>();
        InetSocketAddress ephemeralAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (CoordinatorServer coordinator = CoordinatorServer.start(
                new CoordinatorSettings(
                        "s1",
                        "kigali",
                        ephemeralAddress,
                        Map.of("s1", ephemeralAddress),
                        directory,
                        MissingMemberPolicy.ABORT,
                        TIMING),
                log::add)) {
            assertTrue(coordinator.address().getPort() > 0);
            assertTrue(
                    log.stream().noneMatch(line -> line.contains("log-suspect") || line.contains("disk-refused")),
                    log.toString());
        }
    }
}
