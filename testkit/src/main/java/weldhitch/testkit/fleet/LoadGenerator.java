package weldhitch.testkit.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/**
 * Generates load: each client sends one request at a time to one node and records the result. Each client runs on
 * its own thread; clients may be added, and the records read, from any thread.
 */
public final class LoadGenerator implements Closeable {
    /**
     * How a request completed. RESPONDED: a response arrived. STALE_CONNECTION: a reused connection ended before a
     * response, or the request could not be written. CONNECTION_BROKEN: a new connection ended before a response.
     * TIMED_OUT: no response arrived in time. EXTRA_RESPONSE: bytes followed the final response. DISCONNECTED: the
     * client stopped waiting and closed the connection.
     */
    public enum Completion {
        RESPONDED,
        STALE_CONNECTION,
        CONNECTION_BROKEN,
        TIMED_OUT,
        EXTRA_RESPONSE,
        DISCONNECTED
    }

    /**
     * A completed request. Times are in nanoseconds on the event log's clock. Immutable.
     *
     * @param unsafe whether the request is non-idempotent
     * @param sentAt when the last byte was written
     * @param timeoutMillis the timeout that the request states, in milliseconds
     * @param status the status code, or 0 without a response
     * @param routeVersion the route version named in the response, or null
     */
    public record RequestRecord(
            String id,
            String node,
            boolean unsafe,
            long sentAt,
            long timeoutMillis,
            long endedAt,
            Completion completion,
            int status,
            String routeVersion) {
        /** Returns whether the response states that the request was not executed, so that a retry is safe. */
        public boolean isRejected() {
            return status == 429 || status == 503;
        }
    }

    /** Builds the text of a request from its id and whether it is non-idempotent. */
    public interface RequestFactory extends BiFunction<String, Boolean, String> {}

    /**
     * Defines how a client waits for its responses.
     *
     * @param requestTimeoutMillis the timeout that the requests state, in milliseconds
     * @param readTimeoutMillis how long the client really waits for a response, in milliseconds
     * @param impatient whether a request without a response within {@code readTimeoutMillis} is recorded as
     *     DISCONNECTED rather than TIMED_OUT. An impatient client continues to send while its node is suspended.
     */
    private record Behaviour(long requestTimeoutMillis, long readTimeoutMillis, boolean impatient) {}

    /** Size of each client's range of request numbers. It is even, because odd numbers mark non-idempotent requests. */
    private static final int MAX_IDS_PER_CLIENT = 1_000_000;

    private final EventLog eventLog;
    private final RequestFactory requestFactory;
    private final Behaviour defaultBehaviour;
    private final ConcurrentLinkedQueue<RequestRecord> requests = new ConcurrentLinkedQueue<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final List<Thread> threads = new ArrayList<>();

    /**
     * Creates a generator without clients.
     *
     * @param requestTimeoutMillis the timeout that the requests state, in milliseconds
     * @param timeoutMillis time in milliseconds after which a request without a response counts as timed out
     */
    public LoadGenerator(
            EventLog eventLog, RequestFactory requestFactory, long requestTimeoutMillis, long timeoutMillis) {
        this.eventLog = eventLog;
        this.requestFactory = requestFactory;
        defaultBehaviour = new Behaviour(requestTimeoutMillis, timeoutMillis, false);
    }

    /** Adds a client that sends requests about every {@code intervalMillis} while the node listens. */
    public LoadGenerator addClient(ManagedProcess node, long intervalMillis) {
        return addClient(node, intervalMillis, defaultBehaviour);
    }

    /**
     * Adds a client that states {@code timeoutMillis} as the timeout of its requests and disconnects when that time has
     * passed without a response. It continues while the node is suspended.
     */
    public LoadGenerator addImpatientClient(ManagedProcess node, long intervalMillis, long timeoutMillis) {
        return addClient(node, intervalMillis, new Behaviour(timeoutMillis, timeoutMillis, true));
    }

    private synchronized LoadGenerator addClient(ManagedProcess node, long intervalMillis, Behaviour behaviour) {
        int firstNumber = MAX_IDS_PER_CLIENT * threads.size();
        threads.add(TestSupport.startDaemon(() -> {
            TestConnection connection = null;
            int connectedPort = 0;
            int number = firstNumber;
            boolean reused = false;
            while (!stopped.await(intervalMillis, TimeUnit.MILLISECONDS)) {
                int listenPort = behaviour.impatient ? node.listenPort() : node.currentPort();
                if (listenPort == 0) {
                    continue;
                }
                String id = node.name() + "-" + number;
                boolean unsafe = number++ % 2 == 1;
                try {
                    if (connection == null || connectedPort != listenPort) {
                        connection = connect(listenPort, behaviour);
                        connectedPort = listenPort;
                        reused = false;
                    }
                } catch (IOException e) {
                    connection = null;
                    continue;
                }
                connection = sendOnce(connection, node.name(), id, unsafe, reused, behaviour);
                reused = true;
            }
        }));
        return this;
    }

    private TestConnection connect(int port, Behaviour behaviour) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        socket.setTcpNoDelay(true);
        TestConnection connection = new TestConnection(socket);
        socket.setSoTimeout((int) behaviour.readTimeoutMillis);
        return connection;
    }

    /** Sends one request; returns the connection if it can be reused, or null. */
    private TestConnection sendOnce(
            TestConnection connection, String node, String id, boolean unsafe, boolean reused, Behaviour behaviour) {
        long sentAt = 0;
        try {
            connection.write(requestFactory
                    .apply(id, unsafe)
                    .replaceFirst("X-Expires-In: [0-9.]+", "X-Expires-In: " + behaviour.requestTimeoutMillis / 1000.0));
            sentAt = eventLog.elapsedNanos();
            RawHttpMessage response = connection.readMessage();
            if (response == null) {
                // The node may close an idle connection at the moment at which the next request is written.
                addRecord(
                        id,
                        node,
                        unsafe,
                        sentAt,
                        behaviour,
                        reused ? Completion.STALE_CONNECTION : Completion.CONNECTION_BROKEN,
                        null);
                return null;
            }
            addRecord(id, node, unsafe, sentAt, behaviour, Completion.RESPONDED, response);
            boolean closesConnection = "close".equalsIgnoreCase(RawHttpMessage.header(response.head(), "connection"));
            if (closesConnection) {
                if (connection.readToEnd().length > 0) {
                    addRecord(id, node, unsafe, sentAt, behaviour, Completion.EXTRA_RESPONSE, null);
                }
                connection.close();
                return null;
            }
            return connection;
        } catch (java.net.SocketTimeoutException e) {
            closeQuietly(connection);
            addRecord(
                    id,
                    node,
                    unsafe,
                    sentAt,
                    behaviour,
                    behaviour.impatient ? Completion.DISCONNECTED : Completion.TIMED_OUT,
                    null);
            return null;
        } catch (IOException e) {
            addRecord(
                    id,
                    node,
                    unsafe,
                    sentAt == 0 ? eventLog.elapsedNanos() : sentAt,
                    behaviour,
                    sentAt == 0 || reused ? Completion.STALE_CONNECTION : Completion.CONNECTION_BROKEN,
                    null);
        }
        closeQuietly(connection);
        return null;
    }

    private static void closeQuietly(TestConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // already closed
        }
    }

    private void addRecord(
            String id,
            String node,
            boolean unsafe,
            long sentAt,
            Behaviour behaviour,
            Completion completion,
            RawHttpMessage response) {
        requests.add(new RequestRecord(
                id,
                node,
                unsafe,
                sentAt,
                behaviour.requestTimeoutMillis,
                eventLog.elapsedNanos(),
                completion,
                response == null ? 0 : response.status(),
                response == null ? null : RawHttpMessage.header(response.head(), "x-route-version")));
    }

    /** Returns all completed requests so far, in order of completion. */
    public List<RequestRecord> requests() {
        return List.copyOf(requests);
    }

    /** Stops the clients, those added meanwhile too, and waits for the requests in flight to complete. */
    @Override
    public void close() throws IOException {
        stopped.countDown();
        for (Thread thread : clientThreads()) {
            try {
                thread.join(defaultBehaviour.readTimeoutMillis + 1000L * TestSupport.TIMEOUT_SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private synchronized List<Thread> clientThreads() {
        return List.copyOf(threads);
    }
}
