package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.host;

import org.junit.jupiter.api.Test;
import weldhitch.testkit.FakeDiscovery;
import weldhitch.testkit.ScriptedHttpServer;

/** Tests that a new process at the address of an endpoint that has gone is not taken for that endpoint. */
class ReplacedEndpointTest {
    private static final int REQUESTS = 120;

    /**
     * Guards against this failure: a new endpoint was listed at the address of one that had gone but was still listed;
     * the node sent it the work of both, as if the former one were still there and warm.
     */
    @Test
    void endpointWhoseAddressBelongsToANewerOneGetsNoRequests() throws Exception {
        try (ScriptedHttpServer replaced = new ScriptedHttpServer("replaced");
                ScriptedHttpServer stays = new ScriptedHttpServer("stays");
                FakeDiscovery discovery = new FakeDiscovery()) {
            discovery.add("former", replaced.address()).add("stays", stays.address());
            String known = host("former", replaced.address()) + "," + host("stays", stays.address());
            try (NodeHarness harness = NodeHarness.start(NodeHarness.config(discovery.address(), known, 1024, ""))) {
                discovery.awaitNotified();
                for (int i = 0; i < REQUESTS; i++) {
                    assertEquals(200, harness.send(get("before-" + i)).status());
                }
                long startedAt = System.currentTimeMillis();
                discovery.addStarted("new", replaced.address(), startedAt);
                discovery.awaitNotified();
                // The list has been written to the node, and the next poll of discovery confirms that it was applied.
                discovery.add("stays", stays.address());
                discovery.awaitNotified();
                int sentBefore = replaced.receivedRequests().size();
                for (int i = 0; i < REQUESTS; i++) {
                    assertEquals(200, harness.send(get("after-" + i)).status());
                }
                int sent = replaced.receivedRequests().size() - sentBefore;
                // A new endpoint has 0.3 of the capacity of a warm one here, so of 120 requests it is due under 30.
                assertTrue(sent < REQUESTS / 3, "the new endpoint was sent " + sent + " of " + REQUESTS);
            }
        }
    }
}
