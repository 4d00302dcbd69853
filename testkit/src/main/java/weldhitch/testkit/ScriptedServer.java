package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A TCP server on loopback that runs a handler for each connection, on a separate thread. Thread-safe. */
public final class ScriptedServer implements Closeable {
    public final ServerSocket listener;
    public final BlockingQueue<RawHttpMessage> requests = new LinkedBlockingQueue<>();
    public final BlockingQueue<TestConnection> connections = new LinkedBlockingQueue<>();
    private final List<TestConnection> openConnections = new CopyOnWriteArrayList<>();
    private final List<Long> acceptTimes = new CopyOnWriteArrayList<>();
    private final java.util.concurrent.atomic.AtomicInteger activeHandlers =
            new java.util.concurrent.atomic.AtomicInteger();

    /** Starts to listen on a free port. */
    public ScriptedServer(ConnectionHandler handler) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        TestSupport.startDaemon(() -> {
            while (true) {
                TestConnection connection = new TestConnection(listener.accept());
                openConnections.add(connection);
                acceptTimes.add(System.nanoTime());
                connections.add(connection);
                activeHandlers.incrementAndGet();
                TestSupport.startDaemon(() -> {
                    try {
                        handler.handle(connection);
                    } finally {
                        activeHandlers.decrementAndGet();
                    }
                });
            }
        });
    }

    /** Creates an HTTP server that queues each request in {@link #requests} and sends the text of {@code responder}. */
    public static ScriptedServer respondingWith(java.util.function.Function<RawHttpMessage, String> responder)
            throws IOException {
        ScriptedServer[] server = new ScriptedServer[1];
        java.util.concurrent.CountDownLatch initialized = new java.util.concurrent.CountDownLatch(1);
        server[0] = new ScriptedServer(connection -> {
            initialized.await();
            for (RawHttpMessage request = connection.readMessage();
                    request != null;
                    request = connection.readMessage()) {
                server[0].requests.add(request);
                connection.write(responder.apply(request));
            }
            connection.close();
        });
        initialized.countDown();
        return server[0];
    }

    /** Returns the {@link System#nanoTime} at which each connection was accepted, in order. */
    public List<Long> acceptTimes() {
        return List.copyOf(acceptTimes);
    }

    /** Returns the number of connections whose handler has not returned. */
    public int activeHandlers() {
        return activeHandlers.get();
    }

    /** Waits for the next request and removes it from the queue; fails if none arrives within the timeout. */
    public RawHttpMessage nextRequest() throws InterruptedException {
        RawHttpMessage request = requests.poll(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request arrived within the timeout");
        }
        return request;
    }

    /** Waits for the next connection and removes it from the queue; fails if none arrives within the timeout. */
    public TestConnection nextConnection() throws InterruptedException {
        TestConnection connection = connections.poll(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (connection == null) {
            throw new AssertionError("no connection was accepted within the timeout");
        }
        return connection;
    }

    /** Returns the host and port on which the server listens. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (TestConnection connection : openConnections) {
            connection.close();
        }
    }
}
