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
 * A client that checks the invariants of a node: each request gets exactly one final response; no non-idempotent
 * request is executed twice, or executed and then rejected; and a draining endpoint receives no request after a
 * grace period that starts when the node was notified of the drain. Thread-safe.
 */
public final class InvariantCheckingClient implements Closeable {
    /**
     * A completed request. Immutable.
     *
     * @param unsafe whether the request is non-idempotent
     */
    public record CompletedRequest(String id, boolean unsafe, int status, String body) {
        /** Returns whether the response states that the request was not executed, so that a retry is safe. */
        public boolean isRejected() {
            return status == 429 || status == 503;
        }
    }

    private final int port;
    private final Map<String, CompletedRequest> completedById = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final Set<TestConnection> openConnections = ConcurrentHashMap.newKeySet();

    /**
     * Creates a client of one node.
     *
     * @param port the node's port on loopback
     */
    public InvariantCheckingClient(int port) {
        this.port = port;
    }

    /** Sends a request on a new connection, waits for the response and checks that no bytes follow it. */
    public CompletedRequest send(String id, boolean unsafe, String request) throws IOException {
        TestConnection connection = new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
        openConnections.add(connection);
        // Closed as soon as the request has completed: at thousands of requests per second each open connection
        // would occupy a descriptor, and once the process has none left, a node in the same process can't accept
        // the next connection.
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
        // The node closes its side after this half-close; any byte that arrives until then is in excess.
        connection.socket.shutdownOutput();
        try {
            byte[] extraBytes = connection.readToEnd();
            if (extraBytes.length > 0) {
                violations.add(id + ": " + extraBytes.length + " bytes after its final response");
            }
        } catch (SocketException e) {
            // No bytes follow the response after a reset either.
        }
        return result;
    }

    /** Returns all completed requests, in no particular order. */
    public List<CompletedRequest> completedRequests() {
        return List.copyOf(completedById.values());
    }

    /** Returns the invariants violated so far, one line each; empty if all invariants hold. */
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
     * Returns the requests that the server received more than {@code graceNanos} after {@code notifiedAtNanos}, one
     * line each.
     *
     * @param notifiedAtNanos {@link System#nanoTime} at which the node was notified that the endpoint is draining
     */
    public static List<String> requestsAfterDrain(ScriptedHttpServer server, long notifiedAtNanos, long graceNanos) {
        return server.receivedRequests().stream()
                .filter(received -> received.receivedAtNanos() - notifiedAtNanos > graceNanos)
                .map(received -> received.id() + ": sent to " + server.name() + " "
                        + (received.receivedAtNanos() - notifiedAtNanos) / 1_000_000
                        + " ms after the node was notified of the drain")
                .toList();
    }

    @Override
    public void close() throws IOException {
        for (TestConnection connection : openConnections) {
            connection.close();
        }
    }
}
