package weldhitch.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that each violation is reported; a checker that reported none would let every other test pass. */
class InvariantCheckingClientTest {
    private static final String UNSAFE_REQUEST = "POST /x HTTP/1.1\r\nX-Trace-Id: %s\r\nContent-Length: 0\r\n\r\n";
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

    /** Returns the violations reported for a node that sends this response and executes the request this many times. */
    private static List<String> violations(String response, int executions) throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                ScriptedServer node = new ScriptedServer(connection -> {
                    connection.readMessage();
                    connection.write(response);
                    connection.close();
                });
                InvariantCheckingClient client = new InvariantCheckingClient(port(node.address()))) {
            for (int i = 0; i < executions; i++) {
                try (TestConnection directConnection =
                        new TestConnection(new java.net.Socket("127.0.0.1", port(server.address())))) {
                    directConnection.write(UNSAFE_REQUEST.formatted("r"));
                    directConnection.readMessage();
                }
            }
            client.send("r", true, UNSAFE_REQUEST.formatted("r"));
            return client.violations(List.of(server));
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    @Test
    void reportsNothingWhenAllInvariantsHold() throws Exception {
        assertEquals(List.of(), violations(OK_RESPONSE, 1));
        assertEquals(List.of(), violations(OK_RESPONSE.replace("200 OK", "503 x"), 0));
        assertEquals(List.of(), violations(OK_RESPONSE.replace("200 OK", "502 x"), 1));
    }

    @Test
    void reportsEachViolation() throws Exception {
        assertEquals(List.of("r: no final response"), violations("", 0));
        assertEquals(
                List.of("r: " + OK_RESPONSE.length() + " bytes after its final response"),
                violations(OK_RESPONSE + OK_RESPONSE, 1));
        assertEquals(List.of("r: non-idempotent and executed 2 times"), violations(OK_RESPONSE, 2));
        assertEquals(
                List.of("r: rejected with status 503 but executed"),
                violations(OK_RESPONSE.replace("200 OK", "503 x"), 1));
        assertEquals(List.of("r: responded with status 200 but never executed"), violations(OK_RESPONSE, 0));
    }

    @Test
    void releasesDescriptorsOfFinishedRequests() throws Exception {
        var operatingSystem = (com.sun.management.UnixOperatingSystemMXBean)
                java.lang.management.ManagementFactory.getOperatingSystemMXBean();
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                InvariantCheckingClient client = new InvariantCheckingClient(port(server.address()))) {
            long descriptorsBefore = operatingSystem.getOpenFileDescriptorCount();
            for (int i = 0; i < 300; i++) {
                client.send("r" + i, true, UNSAFE_REQUEST.formatted("r" + i));
            }
            assertEquals(300, client.completedRequests().size());
            // Unclosed connections would raise the count by 300 or more, at either end of the connections. Other
            // threads open far fewer descriptors meanwhile.
            TestSupport.await(() -> operatingSystem.getOpenFileDescriptorCount() - descriptorsBefore < 100);
        }
    }

    @Test
    void reportsRequestsSentAfterADrain() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                TestConnection directConnection =
                        new TestConnection(new java.net.Socket("127.0.0.1", port(server.address())))) {
            long notifiedAt = System.nanoTime();
            directConnection.write(UNSAFE_REQUEST.formatted("late"));
            directConnection.readMessage();
            assertEquals(
                    1,
                    InvariantCheckingClient.requestsAfterDrain(server, notifiedAt, 0)
                            .size());
            assertTrue(InvariantCheckingClient.requestsAfterDrain(server, notifiedAt, 60_000_000_000L)
                    .isEmpty());
        }
    }
}
