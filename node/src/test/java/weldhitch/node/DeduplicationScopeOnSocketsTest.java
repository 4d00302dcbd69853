package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.ok;
import static weldhitch.node.NodeHarness.post;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;

/** Tests what a node states about the servers that discard a repeat of a request, and to whom. */
class DeduplicationScopeOnSocketsTest {
    private static final String SCOPE = "x-deduplication-scope";
    private static final String WANT_SCOPE = "X-Want-Deduplication-Scope";

    /** The effect and group of a class in the settings, and the scope that the node states. */
    static Stream<Arguments> scopesByEffectAndGroup() {
        return Stream.of(
                Arguments.of("idempotency_key", "all", "all"),
                Arguments.of("idempotency_key", "zone", "zone"),
                Arguments.of("idempotency_key", "cell", "cell"),
                Arguments.of("non_idempotent", "all", "none"),
                Arguments.of("read_like", "zone", "all"));
    }

    /** Starts a node at which class {@code book} has this effect and group. */
    private static NodeHarness start(ScriptedServer server, String effect, String group) throws Exception {
        String hosts = NodeHarness.host("s", server.address());
        String config = new String(NodeHarness.config("127.0.0.1:9", hosts, 1024, ""), StandardCharsets.UTF_8)
                .replace(
                        "\"name\":\"book\",\"effect\":\"non_idempotent\"",
                        "\"name\":\"book\",\"effect\":\"" + effect + "\",\"group\":\"" + group
                                + "\",\"memorySpanS\":5.0");
        return NodeHarness.start(config.getBytes(StandardCharsets.UTF_8));
    }

    private static String withScopeRequest(String request) {
        return request.replace("Host:", WANT_SCOPE + ": 1\r\nHost:");
    }

    @ParameterizedTest
    @MethodSource("scopesByEffectAndGroup")
    void statesTheScopeOfTheClassOfTheRequest(String effect, String group, String stated) throws Exception {
        try (ScriptedServer server = ScriptedServer.respondingWith(m -> ok("x"));
                NodeHarness harness = start(server, effect, group)) {
            RawHttpMessage served = harness.send(withScopeRequest(post("1", "b")));
            assertEquals(200, served.status());
            assertEquals(stated, served.header(SCOPE));
            RawHttpMessage rejected =
                    harness.send(withScopeRequest(post("2", "b").replace("8.000", "0")));
            assertEquals(503, rejected.status());
            assertEquals(stated, rejected.header(SCOPE), "scope in a rejection");
        }
    }

    /** A client that does not ask gets the response that it always got, and servers see nothing of the question. */
    @Test
    void statesTheScopeOnlyToAClientThatAsksForIt() throws Exception {
        try (ScriptedServer server = ScriptedServer.respondingWith(m -> ok("x"));
                NodeHarness harness = start(server, "idempotency_key", "zone")) {
            assertNull(harness.send(post("1", "b")).header(SCOPE));
            assertNull(harness.send(get("2")).header(SCOPE));
            assertNull(harness.send(post("3", "b").replace("Host:", WANT_SCOPE + ": 0\r\nHost:"))
                    .header(SCOPE));
            assertEquals("zone", harness.send(withScopeRequest(post("4", "b"))).header(SCOPE));
            for (int i = 0; i < 4; i++) {
                assertNull(server.nextRequest().header(WANT_SCOPE));
            }
        }
    }

    private static String query(String target) {
        return "OPTIONS " + target + " HTTP/1.1\r\n" + WANT_SCOPE + ": 1\r\nHost: app.svc\r\n\r\n";
    }

    /** A client that has to know the scope before it repeats a request asks with a request of its own. */
    @ParameterizedTest
    @MethodSource("scopesByEffectAndGroup")
    void answersAQueryForTheScopeOfAClassAndForwardsNothing(String effect, String group, String stated)
            throws Exception {
        AtomicInteger forwarded = new AtomicInteger();
        try (ScriptedServer server = ScriptedServer.respondingWith(m -> {
                    forwarded.incrementAndGet();
                    return ok("x");
                });
                NodeHarness harness = start(server, effect, group);
                TestConnection connection = harness.client()) {
            for (String target : new String[] {"/book", "/book/7?x=1"}) {
                connection.write(query(target));
                RawHttpMessage answer = connection.readMessage();
                assertEquals(200, answer.status());
                assertEquals(stated, answer.header(SCOPE));
                assertEquals("0", answer.header("content-length"));
            }
            connection.write(post("1", "b"));
            assertEquals(200, connection.readMessage().status(), "request on the connection of the queries");
            assertEquals(1, forwarded.get());
        }
    }

    @Test
    void rejectsAQueryForAnUnknownClassAndOptionsWithoutAQuestion() throws Exception {
        try (ScriptedServer server = ScriptedServer.respondingWith(m -> ok("x"));
                NodeHarness harness = start(server, "idempotency_key", "all")) {
            RawHttpMessage unknown = harness.send(query("/no-such-class"));
            assertEquals(404, unknown.status());
            assertNull(unknown.header(SCOPE));
            RawHttpMessage plainOptions = harness.send(query("/book").replace(WANT_SCOPE + ": 1", WANT_SCOPE + ": 0"));
            assertEquals(405, plainOptions.status());
            assertNull(plainOptions.header(SCOPE));
        }
    }

    @Test
    void statesTheScopeOfAStreamedResponse() throws Exception {
        try (ScriptedServer server = ScriptedServer.respondingWith(m -> ok("streamed"));
                NodeHarness harness = start(server, "idempotency_key", "zone")) {
            RawHttpMessage streamed = harness.send(withScopeRequest(NodeHarness.feed("1")));
            assertEquals("streamed", streamed.bodyText());
            assertEquals("all", streamed.header(SCOPE));
        }
    }
}
