package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.ok;
import static weldhitch.node.NodeHarness.post;

import java.io.Closeable;
import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/** Tests graceful shutdown: all received requests, late ones too, are answered, and then the node ends. */
class NodeShutdownTest {
    private static final String HELD_ID = "held";

    /** Writes the response to a request. */
    private interface Responder {
        void respond(TestConnection connection, RawHttpMessage request) throws Exception;
    }

    /**
     * A server that answers at once, but holds its response to the request with {@link #HELD_ID}. While that request is
     * in flight, its connection is not idle, so that the node announces the close in the response instead of closing
     * the connection between two requests, where the close may cross the next one.
     */
    private static final class HoldingServer implements Closeable {
        private final CountDownLatch released = new CountDownLatch(1);
        private final CountDownLatch heldReceived = new CountDownLatch(1);
        final Set<String> receivedIds = ConcurrentHashMap.newKeySet();
        final ScriptedServer server;

        HoldingServer() throws IOException {
            this((connection, request) -> connection.write(ok("x")));
        }

        HoldingServer(Responder responder) throws IOException {
            server = new ScriptedServer(connection -> {
                for (RawHttpMessage m = connection.readMessage(); m != null; m = connection.readMessage()) {
                    String id = m.header("x-trace-id");
                    receivedIds.add(id);
                    if (id.equals(HELD_ID)) {
                        heldReceived.countDown();
                        released.await();
                    }
                    responder.respond(connection, m);
                }
            });
        }

        /** Sends the request whose response is held, and waits for its arrival. */
        void sendHeldRequest(TestConnection connection) throws Exception {
            connection.write(post(HELD_ID, "b"));
            assertTrue(heldReceived.await(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS), "request did not arrive");
        }

        void release() {
            released.countDown();
        }

        @Override
        public void close() throws IOException {
            release();
            server.close();
        }
    }

    /**
     * Sends requests until the node announces the close of the connection, or closes it between two requests; then
     * closes it. All responses must be served.
     *
     * @return the number of responses
     */
    private static int serveUntilConnectionClose(TestConnection connection) throws IOException {
        int responses = 0;
        try (connection) {
            boolean open = true;
            while (open) {
                connection.write(get("until-close" + responses));
                RawHttpMessage response = connection.readMessage();
                if (response == null) {
                    return responses;
                }
                assertEquals(200, response.status());
                responses++;
                open = !"close".equals(response.header("connection"));
            }
        } catch (SocketException e) {
            // The close of the node has crossed the request.
        }
        return responses;
    }

    @Test
    void acceptedRequestsAreAnsweredAndEveryConnectionCloses() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch requestReceived = new CountDownLatch(1);
        ScriptedServer server = new ScriptedServer(connection -> {
            while (connection.readHead() != null) {
                requestReceived.countDown();
                answer.await();
                connection.write(ok("x"));
            }
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection idle = harness.client();
            TestConnection busy = harness.client();
            busy.write(get("1"));
            requestReceived.await();
            Thread drain = TestSupport.startDaemon(harness.node::drain);
            TestConnection late = harness.client();
            while (harness.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) {
                Thread.onSpinWait();
            }
            late.write(get("2"));
            assertTrue(idle.isClosedByPeer(), "the idle connection was not closed");
            answer.countDown();
            for (TestConnection connection : new TestConnection[] {busy, late}) {
                RawHttpMessage m = connection.readMessage();
                assertEquals(200, m.status());
                assertTrue(connection.isClosedByPeer(), "the connection was not closed after its response");
                connection.close();
            }
            drain.join(TestSupport.TIMEOUT_SECONDS * 1000L);
            assertTrue(!drain.isAlive(), "the shutdown did not complete");
        }
    }

    /**
     * During a rolling restart the previously restarted node may still be down, so the existing connections to this
     * node may be the only ones that its clients have. Closing them at the start of the shutdown left clients without a
     * node for seconds.
     */
    @Test
    void servesExistingConnectionsAndRejectsLateRequests() throws Exception {
        HoldingServer holding = new HoldingServer();
        try (NodeHarness harness = NodeHarness.start(holding.server);
                TestConnection existing = harness.client();
                TestConnection other = harness.client();
                TestConnection late = harness.client()) {
            existing.write(get("1"));
            assertEquals(200, existing.readMessage().status());
            Thread drain = TestSupport.startDaemon(harness.node::drain);
            while (harness.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) {
                Thread.onSpinWait();
            }
            // The class "whole" has no latency objective, so its requests are rejected unless their full deadline of
            // 8 s remains.
            int lateRequests = 0;
            RawHttpMessage m;
            do {
                late.write(post("whole" + lateRequests++, "b")
                        .replace("/book", "/whole")
                        .replace(": book", ": whole"));
                m = late.readMessage();
            } while (m.status() == 200);
            assertEquals(503, m.status());
            assertEquals("close", m.header("connection"));
            String rejectedId = "whole" + (lateRequests - 1);
            assertFalse(holding.receivedIds.contains(rejectedId));
            existing.write(get("kept"));
            m = existing.readMessage();
            assertEquals(200, m.status());
            assertNotEquals(
                    "close", m.header("connection"), "the existing connection was closed at the start of the shutdown");
            holding.sendHeldRequest(existing);
            assertTrue(
                    serveUntilConnectionClose(other) > 1,
                    "an existing connection was closed at the start of the shutdown");
            holding.release();
            m = existing.readMessage();
            assertEquals(200, m.status());
            assertEquals("close", m.header("connection"));
            assertTrue(existing.isClosedByPeer());
            drain.join(TestSupport.TIMEOUT_SECONDS * 1000L);
            assertTrue(!drain.isAlive(), "the shutdown did not complete");
        }
    }

    /**
     * The request has a deadline of 8 s, but the platform kills the process 3.7 s after the signal. Without an earlier
     * response the client would get only a reset.
     */
    @Test
    void inFlightRequestIsAnsweredBeforeThePlatformKillsTheProcess() throws Exception {
        Semaphore requestsReceived = new Semaphore(0);
        ScriptedServer silent = new ScriptedServer(connection -> {
            while (connection.readHead() != null) {
                requestsReceived.release();
            }
        });
        try (NodeHarness harness = NodeHarness.start(silent);
                TestConnection waitingClient = harness.client()) {
            waitingClient.write(post("1", "b"));
            requestsReceived.acquire();
            long shutdownStartedAt = System.nanoTime();
            Thread drain = TestSupport.startDaemon(harness.node::drain);
            RawHttpMessage m = waitingClient.readMessage();
            assertEquals(504, m.status(), "the request may have been executed, so it must not be rejected");
            assertTrue(System.nanoTime() - shutdownStartedAt < 7_000_000_000L, "answered only at the deadline of 8 s");
            assertTrue(waitingClient.isClosedByPeer());
            drain.join(TestSupport.TIMEOUT_SECONDS * 1000L);
            assertTrue(!drain.isAlive(), "the shutdown did not complete");
            assertEquals(0, requestsReceived.availablePermits(), "the request was sent a second time");
        }
    }

    /** The request is never forwarded, because the only server is draining, so its client may retry it elsewhere. */
    @Test
    void neverSentRequestIsRejectedAtTheEnd() throws Exception {
        ScriptedServer server = ScriptedServer.respondingWith(m -> ok("x"));
        String draining = NodeHarness.host("s", server.address(), "draining");
        ScriptedServer discovery = NodeHarness.discovery(draining);
        try (server;
                discovery;
                NodeHarness harness = NodeHarness.start(NodeHarness.config(discovery.address(), draining, 1024, ""));
                TestConnection waitingClient = harness.client()) {
            waitingClient.write(post("1", "b"));
            // The request has been received as soon as a second request with its id is rejected.
            while (harness.send(post("1", "b")).status() != 400) {
                Thread.onSpinWait();
            }
            Thread drain = TestSupport.startDaemon(harness.node::drain);
            assertEquals(503, waitingClient.readMessage().status());
            assertTrue(waitingClient.isClosedByPeer());
            drain.join(TestSupport.TIMEOUT_SECONDS * 1000L);
            assertTrue(!drain.isAlive(), "the shutdown did not complete");
            assertEquals(0, server.requests.size());
        }
    }

    /**
     * Regression: a client that never closes its side delayed the end of the node by 2 s, beyond the time at which the
     * platform kills the process.
     */
    @Test
    void endsAfterAllDeadlinesThoughAClientStaysConnected() throws Exception {
        HoldingServer holding = new HoldingServer();
        ScriptedServer discovery = NodeHarness.discovery(NodeHarness.host("s", holding.server.address()));
        byte[] config = shortDeadlines(discovery, holding.server);
        try (holding;
                discovery;
                NodeHarness harness = NodeHarness.start(config);
                TestConnection lingeringClient = harness.client()) {
            lingeringClient.write(get("first"));
            assertEquals(200, lingeringClient.readMessage().status());
            holding.sendHeldRequest(lingeringClient);
            Thread drain = TestSupport.startDaemon(harness.node::drain);
            serveUntilConnectionClose(harness.client());
            long releasedAt = System.nanoTime();
            holding.release();
            assertEquals("close", lingeringClient.readMessage().header("connection"));
            drain.join(TestSupport.TIMEOUT_SECONDS * 1000L);
            assertTrue(!drain.isAlive(), "the shutdown did not complete");
            // The node should end after 0.7 s; the timeout for a client that does not close would delay that to 2 s.
            assertTrue(System.nanoTime() - releasedAt < 1_900_000_000L, "delayed by a client that does not close");
        }
    }

    private static byte[] shortDeadlines(ScriptedServer discovery, ScriptedServer server) {
        return new String(
                        NodeHarness.config(discovery.address(), NodeHarness.host("s", server.address()), 1024, ""),
                        StandardCharsets.UTF_8)
                .replace("\"aimS\":4.0", "\"aimS\":0.2")
                .replace("\"deadlineS\":8.0", "\"deadlineS\":1.0")
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * A stream that started within its deadline may continue past all deadlines and is forwarded completely.
     */
    @Test
    void startedStreamOutlastsEveryDeadline() throws Exception {
        CountDownLatch last = new CountDownLatch(1);
        HoldingServer holding = new HoldingServer((connection, request) -> {
            if (request.firstLine().startsWith("GET /feed")) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + "a".repeat(70_000));
                last.await();
                connection.write("b".repeat(30_000));
            } else {
                connection.write(ok("x"));
            }
        });
        ScriptedServer discovery = NodeHarness.discovery(NodeHarness.host("s", holding.server.address()));
        try (holding;
                discovery;
                NodeHarness harness = NodeHarness.start(shortDeadlines(discovery, holding.server));
                TestConnection lingeringClient = harness.client();
                TestConnection stream = harness.client()) {
            stream.write(NodeHarness.feed("feed"));
            assertEquals(
                    "HTTP/1.1 200 OK", stream.readHead().lines().findFirst().orElseThrow());
            assertEquals("a".repeat(70_000), new String(stream.readBytes(70_000), StandardCharsets.UTF_8));
            holding.sendHeldRequest(lingeringClient);
            Thread drain = TestSupport.startDaemon(harness.node::drain);
            serveUntilConnectionClose(harness.client());
            holding.release();
            assertEquals("close", lingeringClient.readMessage().header("connection"));
            // The lingering connection is closed after every deadline has passed; writes fail only then.
            assertThrows(java.io.IOException.class, () -> {
                while (true) {
                    lingeringClient.write("x");
                }
            });
            last.countDown();
            assertEquals("b".repeat(30_000), new String(stream.readBytes(30_000), StandardCharsets.UTF_8));
            drain.join(TestSupport.TIMEOUT_SECONDS * 1000L);
            assertTrue(!drain.isAlive(), "the shutdown did not complete");
        }
    }

    /**
     * Regression: connections that the kernel had accepted for the listener, but the node had not, were reset together
     * with their requests when the listener closed. A busy event loop accepts sixteen connections per iteration.
     */
    @Test
    void backlogIsAnsweredWhenTheListenerCloses() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok("x")))) {
            Thread drain = TestSupport.startDaemon(harness.node::drain);
            while (harness.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) {
                Thread.onSpinWait();
            }
            long shutdownStartedAt = System.nanoTime();
            CountDownLatch busy = new CountDownLatch(1);
            harness.node.loop().execute(() -> {
                try {
                    busy.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            TestConnection[] waiting = new TestConnection[60];
            for (int i = 0; i < waiting.length; i++) {
                waiting[i] = harness.client();
                waiting[i].write(get("w" + i));
            }
            // The longest latency objective counts as 1.5 s here, so 1.6 s after the signal clients are asked to close
            // their connections and the listener closes.
            TestSupport.await(() -> System.nanoTime() - shutdownStartedAt > 1_700_000_000L);
            busy.countDown();
            for (TestConnection connection : waiting) {
                int status = connection.readMessage().status();
                assertTrue(status == 200 || status == 503, "status " + status);
                connection.close();
            }
            drain.join(TestSupport.TIMEOUT_SECONDS * 1000L);
        }
    }
}
