package weldhitch.testkit.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.fleet.LoadGenerator.Completion;
import weldhitch.testkit.fleet.LoadGenerator.RequestRecord;

/** Tests that each violation is reported; a checker that reported none would let every other test pass. */
class InvariantCheckerTest {
    private static final long SECOND = 1_000_000_000L;
    private final EventLog eventLog = new EventLog();
    private final FaultInjector noFaults = new FaultInjector(eventLog, Map.of(), Map.of());

    private static RequestRecord request(
            String id, boolean unsafe, Completion completion, int status, long durationNanos) {
        return new RequestRecord(id, "n0", unsafe, SECOND, 3000, SECOND + durationNanos, completion, status, null);
    }

    private static void execute(ScriptedHttpServer server, String id) throws Exception {
        String[] address = server.address().split(":");
        try (TestConnection connection =
                new TestConnection(new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(address[1])))) {
            connection.write("GET /x HTTP/1.1\r\nX-Trace-Id: " + id + "\r\nX-Expires-In: 2.000\r\n\r\n");
            connection.readMessage();
        }
    }

    @Test
    void eachViolationIsReported() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s")) {
            for (String id : List.of("n0-1", "n0-2", "n0-2", "n0-3", "n0-6")) {
                execute(server, id);
            }
            InvariantChecker checker = new InvariantChecker(eventLog, noFaults, List.of(server));
            assertEquals(
                    List.of(),
                    checker.violations(List.of(request("n0-1", true, Completion.RESPONDED, 200, 10)), 1000, 50));
            List<RequestRecord> invalidRequests = List.of(
                    request("n0-2", true, Completion.RESPONDED, 200, 10),
                    request("n0-3", true, Completion.RESPONDED, 503, 10),
                    request("n0-4", false, Completion.RESPONDED, 200, 10),
                    request("n0-5", false, Completion.TIMED_OUT, 0, 10),
                    request("n0-6", true, Completion.STALE_CONNECTION, 0, 10),
                    request("n0-7", false, Completion.RESPONDED, 504, 2 * SECOND),
                    request("n0-8", false, Completion.CONNECTION_BROKEN, 0, 10),
                    request("n0-9", false, Completion.EXTRA_RESPONSE, 0, 10));
            for (RequestRecord request : invalidRequests) {
                assertEquals(1, checker.violations(List.of(request), 1000, 50).size(), request.toString());
            }
        }
    }

    @Test
    void missingResponsesOfAPausedNodeAreExcusedButDuplicateExecutionsAreNot() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s")) {
            ManagedProcess pausedProcess = new ManagedProcess(eventLog, "n0", List.of("true"), Map.of());
            FaultInjector faultInjector = new FaultInjector(eventLog, Map.of("n0", pausedProcess), Map.of());
            faultInjector.runSchedule(List.of(new Fault(0, Fault.Kind.STOP, "n0", 5, 0)));
            long pausedAt = faultInjector.intervals().get(0).startNanos();
            InvariantChecker checker = new InvariantChecker(eventLog, faultInjector, List.of(server));
            assertEquals(
                    List.of(),
                    checker.violations(
                            List.of(new RequestRecord(
                                    "n0-5", "n0", true, pausedAt, 3000, pausedAt + 5, Completion.TIMED_OUT, 0, null)),
                            1000,
                            50));
            execute(server, "n0-5");
            execute(server, "n0-5");
            assertEquals(
                    1,
                    checker.violations(
                                    List.of(new RequestRecord(
                                            "n0-5",
                                            "n0",
                                            true,
                                            pausedAt,
                                            3000,
                                            pausedAt + 5,
                                            Completion.TIMED_OUT,
                                            0,
                                            null)),
                                    1000,
                                    50)
                            .size());
        }
    }

    @Test
    void requestsOfDisconnectedClientsAndOverstatedTimeoutsAreReported() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s")) {
            long sentAt = eventLog.elapsedNanos();
            execute(server, "n0-1");
            InvariantChecker checker = new InvariantChecker(eventLog, noFaults, List.of(server));
            long longBefore = sentAt - SECOND;
            RequestRecord inTime =
                    new RequestRecord("n0-1", "n0", false, sentAt, 2000, sentAt, Completion.DISCONNECTED, 0, null);
            RequestRecord early = new RequestRecord(
                    "n0-1", "n0", false, longBefore, 2000, longBefore, Completion.DISCONNECTED, 0, null);
            assertEquals(List.of(), checker.requestsAfterDisconnect(List.of(inTime), 900));
            assertEquals(1, checker.requestsAfterDisconnect(List.of(early), 900).size());
            assertEquals(List.of(), checker.overstatedTimeouts(List.of(inTime), 900));
            assertEquals(1, checker.overstatedTimeouts(List.of(early), 900).size());
        }
    }

    @Test
    void overloadOfAServerInSlowStartIsReported() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s")) {
            long startedAt = eventLog.elapsedNanos();
            for (int i = 0; i < 40; i++) {
                execute(server, "n0-" + i);
            }
            InvariantChecker checker = new InvariantChecker(eventLog, noFaults, List.of(server));
            // The warm capacity is 10 requests per second, and 0.3 of that at the start. With an allowed multiple of
            // three, 9 requests within 1 s are allowed, and 21 with the statistical slack.
            assertTrue(checker.slowStartOverloads(server, startedAt, 10, 0.3, 5000, 3, 1000)
                    .get(0)
                    .contains("40 requests"));
            assertEquals(List.of(), checker.slowStartOverloads(server, startedAt, 40, 0.3, 5000, 3, 1000));
        }
    }
}
