package weldhitch.steward.run;

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
import weldhitch.control.log.StateLog;
import weldhitch.control.order.Acceptor.Kept;
import weldhitch.control.order.Ballot;
import weldhitch.fleet.activation.Timing;
import weldhitch.fleet.activation.Version;
import weldhitch.steward.core.RouteState;
import weldhitch.steward.core.StewardCore.Absent;

/**
 * Reads state logs that an earlier version (32a2790) wrote as leader and as follower, with a route version
 * pending, committed, finalized and aborted, and one in the middle of a proposal. The files are never recorded
 * again.
 */
class RecordedStateTest {
    private static final Path RECORDED = Path.of("steward/src/test/resources/weldhitch/recorded");
    private static final Timing TIMES = new Timing(200_000_000L, 300_000_000L, 50_000_000L, 1_000_000_000L, 0.002);

    @TempDir
    Path directory;

    private Kept read(String name) throws IOException {
        Path copy = Files.copy(RECORDED.resolve(name), directory.resolve(name));
        try (StateLog log = StateLog.open(copy, 1 << 20)) {
            assertFalse(log.suspect());
            assertEquals(0, log.cut());
            Kept state = StewardJson.JSON.readValue(log.state(), Kept.class);
            assertEquals(
                    StewardJson.JSON.readTree(log.state()),
                    StewardJson.JSON.readTree(StewardJson.JSON.writeValueAsBytes(state)),
                    "it is written in the same form");
            return state;
        }
    }

    private RouteState routes(String name) throws IOException {
        RouteState routes = RouteState.of(read(name).decided());
        assertEquals(Map.of("n1", "n1#1", "n2", "n2#1"), routes.roster());
        return routes;
    }

    @ParameterizedTest
    @CsvSource({"leader", "follower"})
    void aPendingVersionIsPendingAfterTheUpgrade(String role) throws IOException {
        RouteState routes = routes("state-pending-" + role + ".log");
        assertEquals(Version.OWN_FILE, routes.inForce());
        assertEquals(new Version(1, "abc"), routes.pending());
        assertNull(routes.outcome());
        assertEquals(List.of("v1.toml:abc:1"), routes.laid());
        assertTrue(routes.bundle(1).startsWith("version = 1\n"));
    }

    @ParameterizedTest
    @CsvSource({"leader", "follower"})
    void aCommittedVersionKeepsItsMomentAfterTheUpgrade(String role) throws IOException {
        RouteState routes = routes("state-committed-" + role + ".log");
        assertEquals(new Version(1, "abc"), routes.pending());
        assertTrue(routes.outcome().commit());
        assertEquals(1, routes.outcome().number());
        assertTrue(routes.outcome().moment() > 0);
        assertNotNull(routes.outcome().clock());
    }

    @ParameterizedTest
    @CsvSource({"leader", "follower"})
    void aSettledVersionIsInForceAfterTheUpgrade(String role) throws IOException {
        RouteState routes = routes("state-settled-" + role + ".log");
        assertEquals(new Version(1, "abc"), routes.inForce());
        assertNull(routes.pending());
    }

    @ParameterizedTest
    @CsvSource({"leader", "follower"})
    void anAbortedVersionStaysAbortedAfterTheUpgrade(String role) throws IOException {
        RouteState routes = routes("state-aborted-" + role + ".log");
        assertEquals(new Version(1, "abc"), routes.inForce());
        assertNull(routes.pending());
        assertFalse(routes.outcome().commit());
        assertEquals(2, routes.outcome().number());
        assertTrue(
                routes.outcome().reasons().get(0).endsWith("v.toml:3: deadline: is no span"),
                routes.outcome().reasons().toString());
        assertEquals(2, routes.lastNumber());
    }

    @Test
    void aProposalUnderWayKeepsItsPromiseAndItsAcceptedValue() throws IOException {
        Kept state = read("state-undecided-follower.log");
        assertEquals(new Ballot(9, "s3/y"), state.promised());
        assertEquals(new Ballot(8, "s1/x"), state.takenBallot());
        assertEquals("o-1", state.taken().order().id());
        assertEquals(state.decided().generation() + 1, state.generation());
    }

    /**
     * Starts the complete process on a log of the earlier version: it restores its state and continues from
     * there.
     */
    @Test
    void aProcessStartsOnTheStateOfTheEarlierVersion() throws Exception {
        Files.copy(RECORDED.resolve("state-settled-leader.log"), directory.resolve("steward.log"));
        List<String> log = new CopyOnWriteArrayList<>();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (Steward steward = Steward.start(
                new StewardSettings("s1", "kigali", any, Map.of("s1", any), directory, Absent.ABORT, TIMES),
                log::add)) {
            assertTrue(steward.address().getPort() > 0);
            assertTrue(
                    log.stream().noneMatch(line -> line.contains("log-suspect") || line.contains("disk-refused")),
                    log.toString());
        }
    }
}
