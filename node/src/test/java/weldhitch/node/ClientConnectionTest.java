package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.ok;
import static weldhitch.node.NodeHarness.post;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;

/** Tests the responses of the node to valid and invalid requests of clients. */
class ClientConnectionTest {
    private static int status(NodeHarness harness, String request) throws Exception {
        return harness.send(request).status();
    }

    @Test
    void connectionStaysOpenForSubsequentRequests() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok(m.header("x-trace-id"))))) {
            TestConnection connection = harness.client();
            for (String id : new String[] {"1", "2", "3"}) {
                connection.write(get(id));
                assertEquals(id, connection.readMessage().bodyText());
            }
            connection.write(get("4").replace("Host", "Connection: close\r\nHost"));
            RawHttpMessage last = connection.readMessage();
            assertEquals("close", last.header("connection"));
            assertTrue(connection.isClosedByPeer());
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok(m.header("x-trace-id"))))) {
            TestConnection connection = harness.client();
            connection.write(get("1") + post("2", "abc") + get("3") + "GET /read HTTP/1.1\r\nX-Tr");
            assertEquals("1", connection.readMessage().bodyText());
            assertEquals("2", connection.readMessage().bodyText());
            assertEquals("3", connection.readMessage().bodyText());
            connection.write("ace-Id: 4\r\n\r\n");
            assertEquals("4", connection.readMessage().bodyText());
        }
    }

    @Test
    void requestSentByteByByteIsServed() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok(m.bodyText())))) {
            TestConnection connection = harness.client();
            for (byte b : post("1", "slow body").getBytes()) {
                connection.write(new byte[] {b});
            }
            assertEquals("slow body", connection.readMessage().bodyText());
        }
    }

    /**
     * Guards against this failure: clients that stopped half way through a large request were answered only after the
     * time that their first half would have taken at the lowest rate, and held its memory until then.
     */
    @Test
    void clientThatStopsWithinALargeBodyIsAnsweredWithinThreeSeconds() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok("x")))) {
            TestConnection connection = harness.client();
            connection.write(
                    post("1", "x".repeat(400_000)).replace("Content-Length: 400000", "Content-Length: 800000"));
            long stoppedAt = System.nanoTime();
            assertEquals(408, connection.readMessage().status());
            long elapsed = System.nanoTime() - stoppedAt;
            assertTrue(elapsed < 3_000_000_000L, "answered after " + elapsed / 1_000_000 + " ms");
        }
    }

    /**
     * Guards against this failure: clients that had been turned away and kept their connections open counted as clients
     * with requests in flight, so that others were rejected for 2 s.
     */
    @Test
    void clientsThatWereTurnedAwayDoNotCountAsActive() throws Exception {
        ResourceLimits limits = new ResourceLimits(100, Long.MAX_VALUE >> 8);
        try (NodeHarness harness = NodeHarness.start(100, ScriptedServer.respondingWith(m -> ok("x")))) {
            List<TestConnection> turnedAway = new ArrayList<>();
            for (int i = 0; i <= limits.maxActiveClients; i++) {
                TestConnection connection = harness.client();
                connection.write("no HTTP\r\n\r\n");
                assertEquals(400, connection.readMessage().status());
                turnedAway.add(connection);
            }
            assertEquals(limits.maxActiveClients + 1, harness.node.openConnections());
            assertEquals(200, status(harness, get("other")));
        }
    }

    @Test
    void chunkedBodyIsForwardedCompletely() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok(m.bodyText())))) {
            TestConnection connection = harness.client();
            connection.write(post("1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
            connection.write("5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
            assertEquals("hello world", connection.readMessage().bodyText());
        }
    }

    @Test
    void expectContinueIsAnsweredBeforeTheBody() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok(m.bodyText())))) {
            TestConnection connection = harness.client();
            connection.write(post("1", "body")
                    .replace("Host", "Expect: 100-continue\r\nHost")
                    .replace("\r\n\r\nbody", "\r\n\r\n"));
            assertEquals(100, connection.readMessage().status());
            connection.write("body");
            assertEquals("body", connection.readMessage().bodyText());
        }
    }

    @Test
    void invalidInputIsRejectedAndDisturbsNoOtherClient() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok("fine")))) {
            TestConnection bystander = harness.client();
            assertEquals(400, status(harness, get("1").replace("X-Trace-Id: 1\r\n", "")));
            assertEquals(400, status(harness, get("1").replace("Host", "X-Trace-Id: 2\r\nHost")));
            assertEquals(400, status(harness, get("1").replace("8.000", "soon")));
            assertEquals(400, status(harness, get("1").replace("8.000", "-1")));
            assertEquals(400, status(harness, get("1").replace("8.000", "NaN")));
            assertEquals(400, status(harness, get("1").replace("8.000", "Infinity")));
            assertEquals(400, status(harness, get("1").replace("8.000", "8d")));
            assertEquals(400, status(harness, get("1").replace("Host", "X-Expires-In: 1\r\nHost")));
            assertEquals(400, status(harness, get("1").replace("/read/x", "/book/x")));
            assertEquals(404, status(harness, get("1").replace("X-Qos: read", "X-Qos: unheard-of")));
            assertEquals(405, status(harness, get("1").replace("GET", "DELETE")));
            assertEquals(400, status(harness, "NONSENSE\r\n\r\n"));
            assertEquals(400, status(harness, post("1", "x").replace("Length: 1", "Length: one")));
            assertEquals(400, status(harness, post("1", "x").replace("Length: 1", "Length: 1\r\nContent-Length: 2")));
            assertEquals(413, status(harness, post("1", "x").replace("Length: 1", "Length: 33554433")));
            assertEquals(414, status(harness, get("1").replace("q=1", "q=" + "1".repeat(9000))));
            assertEquals(431, status(harness, get("1").replace("Host", "X-Long: " + "1".repeat(17000) + "\r\nHost")));
            assertEquals(200, status(harness, get("1").replace("X-Expires-In: 8.000\r\n", "")));
            assertEquals(200, status(harness, get("1").replace("X-Qos: read\r\n", "")));
            bystander.write(get("9"));
            assertEquals("fine", bystander.readMessage().bodyText());
        }
    }

    @Test
    void duplicateInFlightIdIsRejected() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer server = new ScriptedServer(connection -> {
            connection.readHead();
            answer.await();
            connection.write(ok("first"));
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection first = harness.client();
            first.write(get("1"));
            server.nextConnection();
            assertEquals(400, status(harness, get("1")));
            answer.countDown();
            assertEquals("first", first.readMessage().bodyText());
        }
    }

    @Test
    void clientDisconnectEndsItsAttempt() throws Exception {
        CountDownLatch requestReceived = new CountDownLatch(1);
        ScriptedServer server = new ScriptedServer(connection -> {
            connection.readHead();
            requestReceived.countDown();
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection client = harness.client();
            client.write(get("1"));
            TestConnection attempt = server.nextConnection();
            requestReceived.await();
            client.close();
            assertTrue(attempt.isClosedByPeer(), "the attempt was not cancelled although its client had disconnected");
        }
    }

    @Test
    void expiredRequestIsRejectedUnsent() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok("x")))) {
            assertEquals(503, status(harness, get("1").replace("8.000", "0")));
        }
    }

    @Test
    void retryAfterIsFormattedAsSecondsWithMillis() throws Exception {
        assertEquals("1.250", Headers.formatSeconds(1_250_000_000L));
        assertEquals("0.004", Headers.formatSeconds(4_999_999L));
    }

    @Test
    void readyOnceEndpointsAreKnown() throws Exception {
        CountDownLatch releaseList = new CountDownLatch(1);
        ScriptedServer server = ScriptedServer.respondingWith(m -> ok("x"));
        ScriptedServer discovery = new ScriptedServer(connection -> {
            for (String head = connection.readHead(); head != null; head = connection.readHead()) {
                releaseList.await();
                connection.write(
                        ok("{\"seq\":5,\"whole\":true,\"hosts\":[" + NodeHarness.host("s", server.address()) + "]}"));
            }
        });
        try (NodeHarness harness = NodeHarness.start(NodeHarness.config(discovery.address(), "", 1024, ""))) {
            String ready = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
            assertEquals(503, status(harness, ready));
            releaseList.countDown();
            while (status(harness, ready) != 200) {
                Thread.onSpinWait();
            }
            assertEquals(200, status(harness, get("1")));
        }
        discovery.close();
        server.close();
    }

    /**
     * Regression: clients were left in the backlog when more arrived than the node has connections for, and clients
     * whose first request had been written but not read were evicted as idle.
     */
    @Test
    void clientsBeyondTheLimitAreAllAnswered() throws Exception {
        // The server answers only once the limit has rejected a client. Otherwise the node might answer some requests
        // before it reads the others, and never have more clients than the limit.
        CountDownLatch rejected = new CountDownLatch(1);
        ScriptedServer server = new ScriptedServer(connection -> {
            while (connection.readHead() != null) {
                rejected.await();
                connection.write(ok("x"));
            }
        });
        int clientCount = 60;
        ExecutorService clients = Executors.newFixedThreadPool(clientCount);
        try (NodeHarness harness = NodeHarness.start(100, server)) {
            List<Future<Integer>> statuses = new ArrayList<>();
            for (int i = 0; i < clientCount; i++) {
                TestConnection client = harness.client();
                client.write(get("c" + i));
                statuses.add(clients.submit(() -> {
                    RawHttpMessage response = client.readMessage();
                    client.close();
                    // The balancer rejects without a close, so only the limit on clients counts.
                    if (response.status() == 503 && "close".equals(response.header("connection"))) {
                        rejected.countDown();
                    }
                    return response.status();
                }));
            }
            for (Future<Integer> status : statuses) {
                assertTrue(status.get() == 200 || status.get() == 503, "status " + status.get());
            }
            assertEquals(0, rejected.getCount(), "no client was rejected");
            assertEquals(200, status(harness, get("after")));
        } finally {
            clients.shutdownNow();
        }
    }

    /** Regression: many connections that were opened and never used kept out all other clients. */
    @Test
    void unusedConnectionsAreEvictedForOthers() throws Exception {
        try (NodeHarness harness = NodeHarness.start(100, ScriptedServer.respondingWith(m -> ok("x")))) {
            TestConnection[] unused = new TestConnection[120];
            for (int i = 0; i < unused.length; i++) {
                unused[i] = harness.client();
            }
            assertEquals(200, status(harness, get("1")));
            assertTrue(unused[0].isClosedByPeer(), "the oldest unused connection was not closed");
        }
    }

    /**
     * Guards against request smuggling: the end of the first request is ambiguous and its body may contain a second
     * request, so none of the bytes may be forwarded.
     */
    @Test
    void requestWithConflictingFramingIsRejectedWithWhatFollows() throws Exception {
        ScriptedServer server = ScriptedServer.respondingWith(m -> ok("x"));
        try (NodeHarness harness = NodeHarness.start(server)) {
            for (String version : new String[] {"HTTP/1.1", "HTTP/1.0"}) {
                TestConnection connection = harness.client();
                connection.write(post("1", "")
                                .replace("HTTP/1.1", version)
                                .replace("Content-Length: 0", "Content-Length: 5\r\nTransfer-Encoding: chunked")
                        + "0\r\n\r\n" + post("2", "hidden"));
                assertEquals(400, connection.readMessage().status());
                assertTrue(connection.isClosedByPeer());
            }
            assertEquals(0, server.requests.size());
        }
    }

    /** Regression: clients that stalled within a request, or sent nothing, kept their connections for up to 60 s. */
    @Test
    void stalledRequestsTimeOutAndSilentConnectionsAreClosed() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok("x")))) {
            TestConnection silent = harness.client();
            TestConnection head = harness.client();
            TestConnection body = harness.client();
            head.write("GET /read HTTP/1.1\r\nX-Tr");
            body.write(post("1", "half").replace("Length: 4", "Length: 400"));
            for (TestConnection connection : new TestConnection[] {silent, head, body}) {
                // The protocol allows 3 s; the rest is tolerance for a slow machine.
                connection.socket.setSoTimeout(10_000);
            }
            assertTrue(silent.isClosedByPeer());
            assertEquals(408, head.readMessage().status());
            assertEquals(408, body.readMessage().status());
        }
    }
}
