package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.get;
import static weldhitch.node.NodeHarness.ok;
import static weldhitch.node.NodeHarness.post;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/** Tests that a client that sends small or unsound requests at full speed does not delay other clients. */
class FloodingClientTest {
    /** Bytes that are sent once the node reads again. */
    private static final int FLOOD_BYTES = 256 * 1024;
    /** Bytes that the operating system accepts while the node reads nothing. */
    private static final int BUFFERED_BYTES = 32 * 1024;
    /**
     * Responses that the flooding client may get before a request of another client that arrived at the same time is
     * answered. The answer takes a few polls: to read the request, to forward it and to read its response.
     */
    private static final int MAX_RESPONSES_BEFORE_OTHER_CLIENT = 500;

    private static void countResponses(TestConnection connection, AtomicInteger count) throws IOException {
        while (connection.readMessage() != null) {
            count.incrementAndGet();
        }
    }

    /**
     * Guards against this failure: some clients that sent unsound requests at full speed held the event loop up for
     * 0.6 s at a time, since all requests of one read were answered at once; other clients were answered late.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /x HTTP/1.1\r\n\r\n",
                "FOO / HTTP/1.1\r\n\r\n",
                "GET /ready HTTP/1.1\r\n\r\n",
                "GET /read/x HTTP/1.1\r\nX-Trace-Id: a\r\nX-Trace-Id: b\r\n\r\n",
                "POST /read/x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
            })
    void floodDoesNotDelayOtherClients(String request) throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok("x")))) {
            TestConnection flooding = harness.client();
            TestConnection other = harness.client();
            other.write(get("warm"));
            assertEquals(200, other.readMessage().status());
            // While the event loop is blocked, both clients' requests arrive.
            CountDownLatch released = new CountDownLatch(1);
            harness.node.loop().execute(() -> awaitUninterruptibly(released));
            AtomicInteger responses = new AtomicInteger();
            TestSupport.startDaemon(() -> countResponses(flooding, responses));
            flooding.write(request.repeat(BUFFERED_BYTES / request.length() + 1));
            other.write(post("other", "body"));
            TestSupport.startDaemon(() -> flooding.write(request.repeat(FLOOD_BYTES / request.length())));
            released.countDown();
            assertEquals(200, other.readMessage().status());
            int responsesBefore = responses.get();
            assertTrue(
                    responsesBefore <= MAX_RESPONSES_BEFORE_OTHER_CLIENT,
                    "the flooding client got " + responsesBefore + " responses before");
        }
    }

    /** All requests of a flood are answered, in order, though each poll answers only a few of them. */
    @Test
    void allRequestsOfAFloodAreAnswered() throws Exception {
        int requests = 5_000;
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok("x")))) {
            TestConnection flooding = harness.client();
            TestSupport.startDaemon(() ->
                    flooding.write("GET /nowhere HTTP/1.1\r\nX-Trace-Id: a\r\n\r\n".repeat(requests) + get("last")));
            for (int i = 0; i < requests; i++) {
                assertEquals(404, flooding.readMessage().status(), "request " + i);
            }
            assertEquals("x", flooding.readMessage().bodyText());
        }
    }

    /**
     * A client that sends without end hides whether it is still connected behind its input. Its request is answered,
     * and the search for the end of the input does not hold up other clients.
     */
    @Test
    void requestOfAClientThatNeverStopsSendingIsAnswered() throws Exception {
        try (NodeHarness harness = NodeHarness.start(ScriptedServer.respondingWith(m -> ok("x")))) {
            TestConnection flooding = harness.client();
            flooding.write(post("first", "body"));
            byte[] endless = get("endless").repeat(10_000).getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
            TestSupport.startDaemon(() -> {
                while (true) {
                    flooding.write(endless);
                }
            });
            int status = flooding.readMessage().status();
            assertTrue(status == 200 || status == 503, "status " + status);
            TestConnection other = harness.client();
            for (int i = 0; i < 20; i++) {
                other.write(get("other-" + i));
                assertEquals(200, other.readMessage().status());
            }
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        boolean done = false;
        while (!done) {
            try {
                latch.await();
                done = true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
