package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A client that checks a node's invariants: exactly one final response for each request; no non-idempotent
 * request executed twice, or executed and then rejected; nothing sent to a draining endpoint once a grace
 * period after the node was notified is over. Thread-safe.
 */
public final class InvariantCheckingClient implements Closeable {
    /**
     * A completed request. Immutable.
     *
     * @param unsafe whether it is non-idempotent
     */
    public record CompletedRequest(String id, boolean unsafe, int status, String body) {
        /** Whether the response promises that the request had no effect, so that a retry is harmless. */
        public boolean isRejected() {
            return status == 429 || status == 503;
        }
    }

    private final int port;
    private final Map<String, CompletedRequest> completedById = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final Set<TestConnection> openConnections = ConcurrentHashMap.newKeySet();

    /** @param port the node's port on loopback */
    public InvariantCheckingClient(int port) {
        this.port = port;
    }

    /** Sends a request on a new connection, waits for its response and checks that nothing follows it. */
    public CompletedRequest send(String id, boolean unsafe, String request) throws IOException {
        TestConnection connection = new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
        openConnections.add(connection);
        // Closed as soon as it has ended: at thousands of requests a second each would occupy a descriptor, and
        // once the process has none left, a node in the same process can't accept the next connection.
        try {
            return exchange(connection, id, unsafe, request);
        } finally {
            connection.close();
            openConnections.remove(connection);
        }
    }

    private CompletedRequest exchange(TestConnection connection, String id, boolean unsafe, String request)
            throws IOException {
        connection.write(request);
        RawHttpMessage response = connection.readMessage();
        if (response == null) {
            violations.add(id + ": no final response");
            return null;
        }
        CompletedRequest result = new CompletedRequest(id, unsafe, response.status(), response.bodyText());
        if (completedById.put(id, result) != null) {
            violations.add(id + ": request id used twice by the test");
        }
        // After this half-close the node closes too; any byte that arrives until then is one too many.
        connection.socket.shutdownOutput();
        try {
            byte[] extraBytes = connection.readToEnd();
            if (extraBytes.length > 0) {
                violations.add(id + ": " + extraBytes.length + " bytes after its final response");
            }
        } catch (SocketException e) {
            // after a reset nothing follows the response either
        }
        return result;
    }

    /** All completed requests, in no particular order. */
    public List<CompletedRequest> completedRequests() {
        return List.copyOf(completedById.values());
    }

    /** The invariants violated so far, one line each; empty where all hold. */
    public List<String> violations(List<ScriptedHttpServer> servers) {
        List<String> found = new ArrayList<>(violations);
        for (CompletedRequest request : completedById.values()) {
            int executions = servers.stream()
                    .mapToInt(server -> server.executionCount(request.id))
                    .sum();
            if (request.unsafe && executions > 1) {
                found.add(request.id + ": non-idempotent and executed " + executions + " times");
            }
            if (request.unsafe && request.isRejected() && executions > 0) {
                found.add(request.id + ": rejected with status " + request.status + " but executed");
            }
            if (request.status == 200 && executions == 0) {
                found.add(request.id + ": responded with status 200 but never executed");
            }
        }
        return found;
    }

    /**
     * Requests that the server received later than {@code graceNanos} after {@code toldNanos}, one line each.
     *
     * @param notifiedAtNanos {@link System#nanoTime} at which the node was notified that the endpoint drains
     */
    public static List<String> requestsAfterDrain(ScriptedHttpServer server, long notifiedAtNanos, long graceNanos) {
        return server.receivedRequests().stream()
                .filter(received -> received.receivedAtNanos() - notifiedAtNanos > graceNanos)
                .map(received -> received.id() + ": sent to " + server.name() + " "
                        + (received.receivedAtNanos() - notifiedAtNanos) / 1_000_000
                        + " ms after the node was notified that it is draining")
                .toList();
    }

    @Override
    public void close() throws IOException {
        for (TestConnection connection : openConnections) {
            connection.close();
        }
    }
}
