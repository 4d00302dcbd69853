package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.host;
import static weldhitch.node.NodeHarness.ok;
import static weldhitch.node.NodeHarness.post;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/**
 * Tests the concurrency that a node admits, as its servers observe it: after a start, while the servers are full, and
 * after some of them were removed.
 */
class AdmissionOnSocketsTest {
    private static final int CLIENTS = 60;
    private static final String FULL = "HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

    /**
     * Additional service time of a slow request, in milliseconds. Longer than half of a latency objective of one second
     * and below the objective itself.
     */
    private static final int SLOW_MS = 600;

    /** How the servers respond: they serve after 100 ms, reject immediately, or block until released. */
    private enum Mode {
        ANSWER_SOON,
        FULL,
        HOLD
    }

    /** Servers that share a mode, and clients that send one request after another until they are stopped. */
    private static final class TestCluster implements Closeable {
        volatile Mode mode = Mode.ANSWER_SOON;
        final CountDownLatch release = new CountDownLatch(1);
        final AtomicInteger inService = new AtomicInteger();
        final AtomicInteger maxInService = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger rejected = new AtomicInteger();
        final AtomicInteger ids = new AtomicInteger();
        /** Number of further requests that take longer, like those of a server that is warming up. */
        final AtomicInteger slowRequestsLeft = new AtomicInteger();

        final List<ScriptedServer> servers = new ArrayList<>();
        final CountDownLatch neverReleased = new CountDownLatch(1);
        ScriptedServer discovery;
        NodeHarness node;
        volatile boolean stopped;

        TestCluster(int count) throws Exception {
            for (int i = 0; i < count; i++) {
                servers.add(new ScriptedServer(this::serve));
            }
        }

        private void serve(TestConnection connection) throws Exception {
            while (connection.readMessage() != null) {
                Mode now = mode;
                if (now == Mode.FULL) {
                    connection.write(FULL);
                    continue;
                }
                maxInService.accumulateAndGet(inService.incrementAndGet(), Math::max);
                if (slowRequestsLeft.getAndDecrement() > 0) {
                    neverReleased.await(SLOW_MS, TimeUnit.MILLISECONDS);
                }
                // The service time is long enough for a round trip to be observed and far below any latency objective.
                (now == Mode.HOLD ? release : neverReleased)
                        .await(now == Mode.HOLD ? TestSupport.TIMEOUT_SECONDS * 1000 : 100, TimeUnit.MILLISECONDS);
                inService.decrementAndGet();
                connection.write(ok("x"));
            }
        }

        String hosts() {
            StringBuilder hosts = new StringBuilder();
            for (int i = 0; i < servers.size(); i++) {
                hosts.append(i == 0 ? "" : ",")
                        .append(host("s" + i, servers.get(i).address()));
            }
            return hosts.toString();
        }

        void start(ScriptedServer discoveryServer) throws Exception {
            start(discoveryServer, "4.0");
        }

        void start(ScriptedServer discoveryServer, String latencyObjectiveSeconds) throws Exception {
            discovery = discoveryServer;
            node = NodeHarness.start(new String(NodeHarness.config(discoveryServer.address(), hosts(), 1024, ""))
                    .replace("\"aimS\":4.0", "\"aimS\":" + latencyObjectiveSeconds)
                    .getBytes());
        }

        /**
         * Starts this many clients, each of which sends its next request as soon as it has a response, until
         * {@code count} has reached {@code until}.
         */
        void sendRequests(int clients, AtomicInteger count, int until) throws Exception {
            stopped = false;
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                TestConnection connection = node.client();
                threads.add(TestSupport.startDaemon(() -> {
                    while (!stopped) {
                        connection.write(post("r" + ids.incrementAndGet(), "b"));
                        RawHttpMessage m = connection.readMessage();
                        (m.status() == 200 ? served : rejected).incrementAndGet();
                    }
                }));
            }
            TestSupport.await(() -> count.get() >= until);
            stopped = true;
            for (Thread thread : threads) {
                thread.join(TestSupport.TIMEOUT_SECONDS * 1000L);
            }
        }

        /**
         * Sends many requests simultaneously and returns how many of them reach a server while none is answered.
         * The requests are non-idempotent, so each reaches at most one server.
         */
        int countAdmitted() throws Exception {
            mode = Mode.HOLD;
            int before = rejected.get();
            for (int i = 0; i < CLIENTS; i++) {
                TestConnection connection = node.client();
                TestSupport.startDaemon(() -> {
                    connection.write(post("h" + ids.incrementAndGet(), "b"));
                    (connection.readMessage().status() == 200 ? served : rejected).incrementAndGet();
                });
            }
            TestSupport.await(() -> inService.get() + rejected.get() - before == CLIENTS);
            return inService.get();
        }

        @Override
        public void close() throws IOException {
            release.countDown();
            if (node != null) {
                node.close();
                discovery.close();
            }
            for (ScriptedServer server : servers) {
                server.close();
            }
        }
    }

    /** If the limit grew by a tenth for each response, it would be at most 22 after a hundred responses. */
    @Test
    void freshNodeReachesItsServersCapacityAfterAFewRoundTrips() throws Exception {
        try (TestCluster cluster = new TestCluster(2)) {
            cluster.start(NodeHarness.discovery(cluster.hosts()));
            cluster.sendRequests(CLIENTS, cluster.served, 100);
            assertTrue(cluster.maxInService.get() >= 30, "at most " + cluster.maxInService + " requests in service");
        }
    }

    /**
     * Regression: the first slow response ended the doubling of the limit, so that at most 22 requests were in service
     * after a hundred responses.
     */
    @Test
    void slowFirstResponsesDoNotStopTheInitialGrowth() throws Exception {
        try (TestCluster cluster = new TestCluster(2)) {
            cluster.slowRequestsLeft.set(12);
            cluster.start(NodeHarness.discovery(cluster.hosts()), "1.0");
            cluster.sendRequests(CLIENTS, cluster.served, 100);
            assertTrue(cluster.maxInService.get() >= 30, "at most " + cluster.maxInService + " requests in service");
        }
    }

    /**
     * Regression: only late responses lowered the limit, but a server that rejects requests never responds late.
     */
    @Test
    void nodeWithFullServersAdmitsFewer() throws Exception {
        try (TestCluster cluster = new TestCluster(2)) {
            cluster.start(NodeHarness.discovery(cluster.hosts()));
            cluster.sendRequests(CLIENTS, cluster.served, 300);
            int before = cluster.maxInService.get();
            assertTrue(before >= 30, "at most " + before + " requests in service");
            cluster.mode = Mode.FULL;
            cluster.sendRequests(CLIENTS, cluster.rejected, cluster.rejected.get() + 200);
            int after = cluster.countAdmitted();
            assertTrue(after > 0 && after <= before / 2, after + " requests admitted, expected 1 to half of " + before);
        }
    }

    /**
     * Regression: after a release had removed most of the servers, the node kept the limit learned from all of them.
     */
    @Test
    void nodeWithOneOfFourServersRemainingAdmitsFewer() throws Exception {
        CountDownLatch listApplied = new CountDownLatch(1);
        CountDownLatch drain = new CountDownLatch(1);
        try (TestCluster cluster = new TestCluster(4)) {
            ScriptedServer discovery = new ScriptedServer(connection -> {
                for (RawHttpMessage m = connection.readMessage(); m != null; m = connection.readMessage()) {
                    if (!m.firstLine().contains("after=1&") && !m.firstLine().contains("after=2&")) {
                        connection.write(ok("{\"seq\":1,\"whole\":true,\"hosts\":[" + cluster.hosts() + "]}"));
                    } else if (m.firstLine().contains("after=1&")) {
                        drain.await();
                        connection.write(ok("{\"seq\":2,\"whole\":false,\"hosts\":["
                                + host("s0", cluster.servers.get(0).address(), "draining") + ","
                                + host("s1", cluster.servers.get(1).address(), "draining") + ","
                                + host("s2", cluster.servers.get(2).address(), "draining") + "]}"));
                    } else {
                        listApplied.countDown();
                        connection.write(ok("{\"seq\":2,\"whole\":false,\"hosts\":[]}"));
                    }
                }
            });
            cluster.start(discovery);
            cluster.sendRequests(CLIENTS, cluster.served, 300);
            int before = cluster.maxInService.get();
            assertTrue(before >= 30, "at most " + before + " requests in service");
            drain.countDown();
            assertTrue(listApplied.await(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            int after = cluster.countAdmitted();
            assertTrue(after > 0 && after <= before / 2, after + " requests admitted, expected 1 to half of " + before);
        }
    }
}
