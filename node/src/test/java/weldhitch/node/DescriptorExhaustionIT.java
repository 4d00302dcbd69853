package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.host;
import static weldhitch.node.NodeHarness.post;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.FakeDiscovery;
import weldhitch.testkit.InvariantCheckingClient;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/**
 * Tests requirements on rare situations that need a separate process: exhausted file descriptors, and the time to
 * readiness.
 */
class DescriptorExhaustionIT {
    private static final int DESCRIPTORS = 256;
    /** Time after a drain update in which a draining server may still receive requests, in nanoseconds. */
    private static final long GRACE_NANOS = 2_050_000_000L;

    private static final String READY = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

    /**
     * Opens an idle connection. The node may close it without reading, because more connections are opened than the
     * process has descriptors for.
     */
    private static TestConnection openIdleConnection(int port, int number) throws IOException {
        TestConnection connection = new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
        if (number % 2 == 0) {
            try {
                connection.write(get("idle" + number));
                connection.readMessage();
            } catch (IOException e) {
                // Closed by the node to free a descriptor.
            }
        }
        return connection;
    }

    /**
     * Idle clients exhaust the descriptors while discovery is unavailable. Discovery then recovers with a drain update,
     * which the node must receive and apply.
     */
    @Test
    void exhaustedDescriptorsDoNotBlockDrainUpdates() throws Exception {
        List<TestConnection> idleClients = new ArrayList<>();
        try (ScriptedHttpServer stays = new ScriptedHttpServer("stays");
                ScriptedHttpServer drains = new ScriptedHttpServer("drains");
                FakeDiscovery discovery = new FakeDiscovery()) {
            discovery.add("stays", stays.address()).add("drains", drains.address());
            String known = host("stays", stays.address()) + "," + host("drains", drains.address());
            try (NodeProcess node = new NodeProcess(
                            run -> "ulimit -n " + DESCRIPTORS + "; " + run,
                            NodeHarness.config(discovery.address(), known, DESCRIPTORS, ""));
                    InvariantCheckingClient checker = new InvariantCheckingClient(node.port)) {
                discovery.awaitNotified();
                discovery.pause();
                for (int i = 0; i < 2 * DESCRIPTORS; i++) {
                    idleClients.add(openIdleConnection(node.port, i));
                }
                discovery.drain("drains").resume();
                long reachableAt = System.nanoTime();
                long notifiedAt = discovery.awaitNotified();
                assertTrue(
                        notifiedAt - reachableAt < 6_000_000_000L,
                        "notified " + (notifiedAt - reachableAt) / 1_000_000 + " ms after discovery resumed");
                for (int i = 0; System.nanoTime() - notifiedAt < GRACE_NANOS + 300_000_000L; i++) {
                    checker.send("after" + i, true, post("after" + i, "b"));
                }
                assertEquals(List.of(), InvariantCheckingClient.requestsAfterDrain(drains, notifiedAt, GRACE_NANOS));
                assertEquals(List.of(), checker.violations(List.of(stays, drains)));
                assertTrue(checker.completedRequests().stream()
                                .filter(a -> a.status() == 200)
                                .count()
                        > 0.9 * checker.completedRequests().size());
            }
        } finally {
            for (TestConnection idleClient : idleClients) {
                idleClient.close();
            }
        }
    }

    /**
     * Ten nodes start simultaneously, as in a step of a rolling restart. Nine of them must be ready, and serve, within
     * 10 s.
     */
    @Test
    void nineInTenRestartsAreReadyWithinTenSeconds() throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(10);
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                FakeDiscovery discovery = new FakeDiscovery()) {
            discovery.add("s", server.address());
            byte[] config = NodeHarness.config(discovery.address(), host("s", server.address()), 1024, "");
            List<Future<Long>> readyTimes = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                readyTimes.add(executor.submit(() -> {
                    long startedAt = System.nanoTime();
                    try (NodeProcess node = new NodeProcess(run -> run, config)) {
                        TestSupport.await(60, () -> statusOf(node, READY) == 200);
                        long ready = System.nanoTime() - startedAt;
                        assertEquals(200, statusOf(node, get("first")));
                        return ready / 1_000_000;
                    }
                }));
            }
            long[] millis = new long[10];
            for (int i = 0; i < 10; i++) {
                millis[i] = readyTimes.get(i).get(90, TimeUnit.SECONDS);
            }
            Arrays.sort(millis);
            System.out.println("ten nodes started simultaneously are ready after " + Arrays.toString(millis) + " ms");
            assertTrue(millis[8] < 10_000, Arrays.toString(millis));
        } finally {
            executor.shutdownNow();
        }
    }

    private static int statusOf(NodeProcess node, String request) {
        try {
            RawHttpMessage m = node.send(request);
            return m == null ? 0 : m.status();
        } catch (IOException e) {
            return 0;
        }
    }
}
