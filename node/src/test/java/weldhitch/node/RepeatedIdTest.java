package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.post;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/** Tests what the node does with a request whose id it has seen before. */
class RepeatedIdTest {
    private static NodeHarness start(ScriptedHttpServer server, ScriptedServer discovery, String limits)
            throws Exception {
        String config = new String(
                        NodeHarness.config(discovery.address(), NodeHarness.host("s", server.address()), 1024, ""),
                        StandardCharsets.UTF_8)
                .replace("\"cancel\":true", limits);
        return NodeHarness.start(config.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Guards against this failure: a client left while its request was being executed, the same id came again on
     * another connection, and the node forwarded it a second time.
     */
    @ParameterizedTest
    @ValueSource(strings = {"\"cancel\":true", "\"cancel\":false"})
    void idThatMayHaveBeenExecutedIsNotForwardedAgainAfterItsClientHasLeft(String limits) throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                ScriptedServer discovery = NodeHarness.discovery(NodeHarness.host("s", server.address()));
                NodeHarness harness = start(server, discovery, limits)) {
            server.enqueue(ScriptedHttpServer.delayed(300, ScriptedHttpServer.respond("late")));
            try (TestConnection leaving = harness.client()) {
                leaving.write(post("repeated", "body"));
                TestSupport.await(() -> server.executionCount("repeated") == 1);
            }
            TestSupport.await(() -> harness.node.openConnections() == 0);
            assertEquals(400, harness.send(post("repeated", "body")).status());
            assertEquals(200, harness.send(get("other")).status());
            assertEquals(1, server.executionCount("repeated"));
        }
    }

    /** A client that has not read its response may send the same request again. */
    @Test
    void idThatWasServedIsNotForwardedAgain() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                ScriptedServer discovery = NodeHarness.discovery(NodeHarness.host("s", server.address()));
                NodeHarness harness = start(server, discovery, "\"cancel\":true")) {
            assertEquals(200, harness.send(post("repeated", "body")).status());
            assertEquals(400, harness.send(post("repeated", "body")).status());
            assertEquals(1, server.executionCount("repeated"));
        }
    }

    /** A server may answer before it has read the whole request; that it was executed is known all the same. */
    @Test
    void idThatWasServedBeforeItsRequestWasWrittenIsNotForwardedAgain() throws Exception {
        AtomicInteger heads = new AtomicInteger();
        ScriptedServer server = new ScriptedServer(connection -> {
            while (connection.readHead() != null) {
                heads.incrementAndGet();
                connection.write(NodeHarness.ok("early"));
                connection.isClosedByPeer();
            }
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            String large = post("repeated", "x".repeat(20 << 20));
            assertEquals(200, harness.send(large).status());
            assertEquals(400, harness.send(post("repeated", "body")).status());
            assertEquals(1, heads.get());
        }
    }

    /** A repeat is served if the request is idempotent, or was not executed. */
    @Test
    void idThatWasNotExecutedOrIsIdempotentIsForwardedAgain() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                ScriptedServer discovery = NodeHarness.discovery(NodeHarness.host("s", server.address()));
                NodeHarness harness = start(server, discovery, "\"cancel\":true")) {
            assertEquals(200, harness.send(get("read")).status());
            assertEquals(200, harness.send(get("read")).status());
            server.byDefault(ScriptedHttpServer.reject());
            assertEquals(503, harness.send(post("rejected", "body")).status());
            server.byDefault(ScriptedHttpServer.respond("x"));
            assertEquals(200, harness.send(post("rejected", "body")).status());
            assertEquals(1, server.executionCount("rejected"));
        }
    }
}
