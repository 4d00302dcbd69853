package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.post;
import static weldhitch.testkit.ScriptedHttpServer.delayed;
import static weldhitch.testkit.ScriptedHttpServer.reject;
import static weldhitch.testkit.ScriptedHttpServer.resetAfterLastByte;
import static weldhitch.testkit.ScriptedHttpServer.resetBeforeLastByte;
import static weldhitch.testkit.ScriptedHttpServer.respond;
import static weldhitch.testkit.ScriptedHttpServer.respondMalformed;
import static weldhitch.testkit.ScriptedHttpServer.respondWithStatus;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.FakeDiscovery;
import weldhitch.testkit.FaultInjectingProxy;
import weldhitch.testkit.InvariantCheckingClient;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.ScriptedHttpServer.Step;
import weldhitch.testkit.TestSupport;

/**
 * Tests the invariants on a node whose servers and links fail as scripted, with a client that counts executions.
 */
class InvariantsOnSocketsTest {
    /** Time after a drain update in which a draining server may still receive requests, in nanoseconds. */
    private static final long GRACE_NANOS = 2_000_000_000L;

    private static final Step[] FAULTS = {
        reject(),
        respondWithStatus(500),
        delayed(5, respond("slow")),
        resetBeforeLastByte(),
        resetAfterLastByte(),
        respondMalformed("HTTP/1.1 200 OK\r\nno header\r\n\r\n"),
        respondMalformed("\0\0\0\0\r\n\r\n")
    };

    @Test
    void requestsAreAnsweredOnceAndNonIdempotentOnesNeverRunTwice() throws Exception {
        List<ScriptedHttpServer> servers =
                List.of(new ScriptedHttpServer("s0"), new ScriptedHttpServer("s1"), new ScriptedHttpServer("s2"));
        SplittableRandom random = new SplittableRandom(11);
        for (ScriptedHttpServer server : servers) {
            for (int i = 0; i < 300; i++) {
                server.enqueue(random.nextInt(3) == 0 ? FAULTS[random.nextInt(FAULTS.length)] : respond("ok"));
            }
        }
        try (FakeDiscovery discovery = new FakeDiscovery();
                FaultInjectingProxy link =
                        new FaultInjectingProxy(servers.get(2).address())) {
            discovery
                    .add("s0", servers.get(0).address())
                    .add("s1", servers.get(1).address())
                    .add("s2", link.address());
            try (NodeHarness harness = NodeHarness.start(NodeHarness.config(discovery.address(), "", 1024, ""));
                    InvariantCheckingClient client =
                            new InvariantCheckingClient(harness.node.address().getPort())) {
                discovery.awaitNotified();
                List<Thread> threads = new ArrayList<>();
                for (int c = 0; c < 6; c++) {
                    int number = c;
                    threads.add(TestSupport.startDaemon(() -> {
                        for (int i = 0; i < 60; i++) {
                            String id = "c" + number + "." + i;
                            boolean nonIdempotent = i % 2 == 0;
                            client.send(id, nonIdempotent, nonIdempotent ? post(id, "b") : get(id));
                            if (number == 0 && i % 10 == 9) {
                                link.resetConnections();
                            }
                        }
                    }));
                }
                for (Thread thread : threads) {
                    thread.join(TestSupport.TIMEOUT_SECONDS * 1000L);
                }
                assertEquals(360, client.completedRequests().size());
                assertEquals(List.of(), client.violations(servers));
                long served = client.completedRequests().stream()
                        .filter(a -> a.status() == 200)
                        .count();
                assertTrue(served >= 180, served + " of 360 served");
            }
        } finally {
            for (ScriptedHttpServer server : servers) {
                server.close();
            }
        }
    }

    @Test
    void noNewRequestIsSentToADrainingServer() throws Exception {
        try (ScriptedHttpServer stays = new ScriptedHttpServer("stays");
                ScriptedHttpServer drains = new ScriptedHttpServer("drains");
                FakeDiscovery discovery = new FakeDiscovery()) {
            discovery.add("stays", stays.address()).add("drains", drains.address());
            try (NodeHarness harness = NodeHarness.start(NodeHarness.config(discovery.address(), "", 1024, ""));
                    InvariantCheckingClient client =
                            new InvariantCheckingClient(harness.node.address().getPort())) {
                discovery.awaitNotified();
                int i = 0;
                while (drains.receivedRequests().size() < 5) {
                    client.send("before" + i, true, post("before" + i++, "b"));
                }
                long notifiedAt = discovery.drain("drains").awaitNotified();
                int late = 0;
                while (System.nanoTime() - notifiedAt < GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(300)) {
                    client.send("after" + late, true, post("after" + late++, "b"));
                }
                assertTrue(late > 10, late + " requests sent after the drain");
                assertEquals(List.of(), InvariantCheckingClient.requestsAfterDrain(drains, notifiedAt, GRACE_NANOS));
                assertEquals(List.of(), client.violations(List.of(stays, drains)));
                assertTrue(
                        client.completedRequests().stream().allMatch(a -> a.status() == 200),
                        "a request failed during the drain");
            }
        }
    }
}
