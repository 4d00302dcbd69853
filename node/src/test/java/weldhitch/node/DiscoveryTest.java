package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.host;
import static weldhitch.node.NodeHarness.ok;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/** Tests that the endpoint list is long-polled or polled on demand, and withstands failures of discovery. */
class DiscoveryTest {
    private static final String GET_ALL = "GET /v1/endpoints HTTP/1.1";

    private static void assertServedBy(NodeHarness harness, String id, String body) throws IOException {
        assertEquals(body, harness.send(get(id)).bodyText());
    }

    @Test
    void watchContinuesAndAppliesUpdates() throws Exception {
        try (ScriptedDiscovery discovery = new ScriptedDiscovery();
                ScriptedServer a = ScriptedServer.respondingWith(m -> ok("a"));
                ScriptedServer b = ScriptedServer.respondingWith(m -> ok("b"));
                NodeHarness harness = NodeHarness.start(
                        NodeHarness.config(discovery.server.address(), host("a", a.address()), 1024, ""))) {
            assertEquals("GET /v1/endpoints?after=0&wait_ms=0 HTTP/1.1", discovery.awaitCall());
            discovery.enqueueList(7, false, host("b", b.address()) + "," + host("a", a.address(), "draining"));
            assertEquals("GET /v1/endpoints?after=7&wait_ms=2000 HTTP/1.1", discovery.awaitCall());
            for (int i = 0; i < 8; i++) {
                assertServedBy(harness, "x" + i, "b");
            }
            // A full list that omits an endpoint removes it.
            discovery.enqueueList(9, true, host("a", a.address()));
            discovery.awaitCall();
            for (int i = 0; i < 8; i++) {
                assertServedBy(harness, "y" + i, "a");
            }
        }
    }

    @Test
    void idleConnectionsToADrainingServerAreClosed() throws Exception {
        try (ScriptedDiscovery discovery = new ScriptedDiscovery();
                ScriptedServer a = ScriptedServer.respondingWith(m -> ok("a"));
                NodeHarness harness = NodeHarness.start(
                        NodeHarness.config(discovery.server.address(), host("a", a.address()), 1024, ""))) {
            assertServedBy(harness, "1", "a");
            a.nextConnection();
            discovery.awaitCall();
            discovery.enqueueList(2, false, host("a", a.address(), "draining"));
            discovery.awaitCall();
            assertEquals(1, a.requests.size());
            // The handler of the server's connection returns when the connection closes.
            while (a.activeHandlers() > 0) {
                Thread.onSpinWait();
            }
        }
    }

    /** A draining server should have few connections left, and no further request is sent on this one. */
    @Test
    void connectionReleasedToADrainingServerIsClosed() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        ScriptedServer a = new ScriptedServer(connection -> {
            while (connection.readHead() != null) {
                requestReceived.countDown();
                answer.await();
                connection.write(ok("a"));
            }
            closed.countDown();
        });
        ScriptedDiscovery discovery = new ScriptedDiscovery();
        // The keep-alive time is so long that the age of the connection does not close it.
        byte[] config = new String(
                        NodeHarness.config(discovery.server.address(), host("a", a.address()), 1024, ""),
                        StandardCharsets.UTF_8)
                .replace("\"keepaliveS\":5.0", "\"keepaliveS\":5000.0")
                .getBytes(StandardCharsets.UTF_8);
        try (discovery;
                a;
                NodeHarness harness = NodeHarness.start(config);
                TestConnection client = harness.client()) {
            client.write(get("1"));
            requestReceived.await();
            discovery.awaitCall();
            discovery.enqueueList(2, false, host("a", a.address(), "draining"));
            discovery.awaitCall();
            answer.countDown();
            assertEquals(200, client.readMessage().status());
            assertTrue(closed.await(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS), "the connection was not closed");
        }
    }

    @Test
    void failedPollsDoNotChangeTheActiveList() throws Exception {
        try (ScriptedDiscovery discovery = new ScriptedDiscovery();
                ScriptedServer a = ScriptedServer.respondingWith(m -> ok("a"));
                NodeHarness harness = NodeHarness.start(
                        NodeHarness.config(discovery.server.address(), host("a", a.address()), 1024, ""))) {
            String[] failures = {"reset", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "garbage\r\n\r\n"};
            for (String failure : failures) {
                assertTrue(discovery.awaitCall().contains("after=0&"));
                discovery.responses.add(failure);
            }
            // The current list is valid. The node repeats the same poll after a malformed list, or after changes to a
            // list that it does not have, and requests the expensive full list only if that did not help.
            for (int i = 0; i < 2; i++) {
                assertTrue(discovery.awaitCall().contains("after=0&"));
                discovery.responses.add(ok("{\"seq\":3,\"whole\":true,\"hosts\":[{\"host\":5}]}"));
            }
            assertEquals(GET_ALL, discovery.awaitCall());
            assertServedBy(harness, "1", "a");
            discovery.enqueueList(4, true, host("a", a.address()));
            // Neither older changes nor an older full list replace the current list, even though the full list is
            // empty.
            assertTrue(discovery.awaitCall().contains("after=4&"));
            discovery.enqueueList(2, false, "");
            assertTrue(discovery.awaitCall().contains("after=4&"));
            discovery.enqueueList(3, true, "");
            assertEquals(GET_ALL, discovery.awaitCall());
            assertServedBy(harness, "2", "a");
        }
    }

    @Test
    void onDemandDiscoveryRetriesAfterAFailure() throws Exception {
        try (ScriptedDiscovery discovery = new ScriptedDiscovery();
                ScriptedServer a = ScriptedServer.respondingWith(m -> ok("a"));
                NodeHarness harness = NodeHarness.start(NodeHarness.config(
                        discovery.server.address(), host("a", a.address()), 1024, ",\"membershipMode\":\"ask\""))) {
            assertServedBy(harness, "1", "a");
            discovery.awaitCall();
            discovery.responses.add("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            discovery.awaitCall();
            discovery.enqueueList(2, true, host("a", a.address()));
            assertTrue(discovery.awaitCall().contains("after=2&"), "the long poll did not continue");
        }
    }

    /**
     * No event closes a long poll that has become silent; the node has to detect it and open another connection. Where
     * discovery is shared, a response counts as missing two seconds after the requested wait.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void silentWatchIsReopened(boolean shared) throws Exception {
        try (ScriptedDiscovery discovery = new ScriptedDiscovery();
                ScriptedServer a = ScriptedServer.respondingWith(m -> ok("a"));
                NodeHarness harness = NodeHarness.start(NodeHarness.config(
                        discovery.server.address(),
                        host("a", a.address()),
                        1024,
                        shared ? ",\"membershipMode\":\"ask\"" : ""))) {
            assertServedBy(harness, "1", "a");
            discovery.awaitCall();
            discovery.enqueueList(4, true, host("a", a.address()));
            assertTrue(discovery.awaitCall().contains("after=4&wait_ms=2000"));
            long silentSince = System.nanoTime();
            // This poll gets no response on the first connection. The next one requests no wait, so that it returns
            // missed changes immediately.
            assertTrue(discovery.awaitCall().contains("after=4&wait_ms=0"));
            long after = (System.nanoTime() - silentSince) / 1_000_000;
            // Half a second of the limit is tolerance for a busy machine.
            assertTrue(after >= 2000 && after < (shared ? 4500 : 6000), "polled again after " + after + " ms");
            assertTrue(discovery.server.connections.size() >= 2, "not polled on a new connection");
            assertServedBy(harness, "2", "a");
        }
    }

    /**
     * A long poll becomes silent, the next poll too, and the one after it is rejected. Each failure alone is within the
     * limits; all of them together must not delay the update beyond its deadline of 5 s.
     */
    @Test
    void consecutiveFailuresStayWithinTheUpdateDeadline() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        AtomicLong silentSince = new AtomicLong();
        CountDownLatch changeSent = new CountDownLatch(1);
        try (ScriptedServer a = ScriptedServer.respondingWith(m -> ok("a"));
                ScriptedServer discovery = new ScriptedServer(connection -> {
                    int number = connections.incrementAndGet();
                    for (RawHttpMessage m = connection.readMessage(); m != null; m = connection.readMessage()) {
                        if (number == 1 && m.firstLine().contains("after=0&")) {
                            connection.write(
                                    ok("{\"seq\":4,\"whole\":true,\"hosts\":[" + host("a", a.address()) + "]}"));
                        } else if (number == 1) {
                            silentSince.set(System.nanoTime());
                        } else if (number == 3) {
                            connection.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                        } else if (number > 3) {
                            connection.write(ok("{\"seq\":5,\"whole\":false,\"hosts\":["
                                    + host("a", a.address(), "draining") + "]}"));
                            changeSent.countDown();
                        }
                    }
                });
                NodeHarness harness =
                        NodeHarness.start(NodeHarness.config(discovery.address(), host("a", a.address()), 1024, ""))) {
            assertServedBy(harness, "1", "a");
            assertTrue(changeSent.await(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            long elapsedMillis = (System.nanoTime() - silentSince.get()) / 1_000_000;
            assertTrue(elapsedMillis < 5000, "updated " + elapsedMillis + " ms after the long poll became silent");
        }
    }

    @Test
    void retryAfterOfASharedServiceIsHonoured() throws Exception {
        try (ScriptedDiscovery discovery = new ScriptedDiscovery();
                ScriptedServer a = ScriptedServer.respondingWith(m -> ok("a"));
                NodeHarness harness = NodeHarness.start(NodeHarness.config(
                        discovery.server.address(), host("a", a.address()), 1024, ",\"membershipMode\":\"ask\""))) {
            discovery.awaitCall();
            long rejectedAt = System.nanoTime();
            discovery.responses.add("HTTP/1.1 503 Busy\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n");
            discovery.awaitCall();
            assertTrue(System.nanoTime() - rejectedAt >= 700_000_000L, "polled again before Retry-After had passed");
            assertServedBy(harness, "1", "a");
        }
    }

    /**
     * Regression: a node kept polling the discovery address with which it had started, or dropped its list because
     * of an invalid file.
     */
    @Test
    void reloadMovesTheWatchAndAnInvalidFileChangesNothing() throws Exception {
        Path file = Files.createTempFile("weldhitch", ".json");
        try (ScriptedDiscovery oldDiscovery = new ScriptedDiscovery();
                ScriptedDiscovery newDiscovery = new ScriptedDiscovery();
                ScriptedServer a = ScriptedServer.respondingWith(m -> ok("a"));
                ScriptedServer b = ScriptedServer.respondingWith(m -> ok("b"));
                NodeHarness harness = NodeHarness.start(
                        NodeHarness.config(oldDiscovery.server.address(), host("a", a.address()), 1024, ""))) {
            Map<String, String> environment =
                    Map.of("GW_CONFIG", file.toString(), "GW_DISCOVERY", oldDiscovery.server.address());
            oldDiscovery.awaitCall();
            Files.writeString(file, "{\"discovery\":");
            harness.node.reload(environment);
            assertServedBy(harness, "1", "a");
            Files.write(file, NodeHarness.config(newDiscovery.server.address(), "", 1024, ""));
            harness.node.reload(environment);
            assertEquals(GET_ALL, newDiscovery.awaitCall(), "versions of another discovery service are not comparable");
            assertTrue(oldDiscovery.server.nextConnection().isClosedByPeer(), "the old long poll continues");
            assertServedBy(harness, "2", "a");
            newDiscovery.enqueueList(3, true, host("b", b.address()));
            assertTrue(newDiscovery.awaitCall().contains("after=3&"));
            assertServedBy(harness, "3", "b");
        } finally {
            Files.delete(file);
        }
    }

    @Test
    void malformedListsAreErrors() throws Exception {
        String[] malformedLists = {
            "",
            "[]",
            "{}",
            "{\"seq\":1}",
            "{\"seq\":1,\"hosts\":{}}",
            "{\"seq\":\"x\",\"hosts\":[]}",
            "{\"seq\":1,\"whole\":true,\"hosts\":[]} {}",
            "{\"seq\":1,\"whole\":true,\"hosts\":[",
            "{\"seq\":1,\"whole\":true,\"hosts\":[" + host("a", "nowhere:80") + "]}",
            "{\"seq\":1,\"whole\":true,\"hosts\":[" + host("a", "127.0.0.1:99999") + "]}"
        };
        for (String json : malformedLists) {
            assertThrows(IOException.class, () -> EndpointList.parse(json.getBytes(StandardCharsets.UTF_8)), json);
        }
        EndpointList removal =
                EndpointList.parse(("{\"seq\":1,\"whole\":false,\"more\":[1],\"hosts\":[{\"host\":\"a\",\"health\":"
                                + "\"gone\",\"dial\":null}]}")
                        .getBytes(StandardCharsets.UTF_8));
        assertEquals(1, removal.endpoints().size());
    }
}
