package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.feed;
import static weldhitch.node.NodeHarness.post;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/** Tests that long bodies are streamed within memory bounds, and that a truncated body never looks complete. */
class StreamTest {
    private static byte[] randomBytes(int size) {
        byte[] bytes = new byte[size];
        new Random(5).nextBytes(bytes);
        return bytes;
    }

    private static void assertServed(String head, byte[] sent, byte[] expected) throws Exception {
        ScriptedServer server = new ScriptedServer(connection -> {
            while (connection.readHead() != null) {
                connection.write(head);
                connection.write(sent);
            }
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection connection = harness.client();
            connection.write(feed("1").replace("HTTP/1.1", "HTTP/1.0"));
            connection.readHead();
            assertArrayEquals(expected, connection.readToEnd());
        }
    }

    @Test
    void longResponsesAreStreamedUnchanged() throws Exception {
        for (int size :
                new int[] {ResponseBuffer.MAX_BUFFERED_BYTES, ResponseBuffer.MAX_BUFFERED_BYTES + 1, 5_000_000, 32 << 20
                }) {
            byte[] body = randomBytes(size);
            assertServed("HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n", body, body);
        }
    }

    @Test
    void longChunkedResponseIsStreamed() throws Exception {
        byte[] body = randomBytes(200_000);
        byte[] sent = new byte[7 + body.length + 7];
        System.arraycopy("30d40\r\n".getBytes(), 0, sent, 0, 7);
        System.arraycopy(body, 0, sent, 7, body.length);
        System.arraycopy("\r\n0\r\n\r\n".getBytes(), 0, sent, 7 + body.length, 7);
        assertServed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", sent, body);
    }

    @Test
    void brokenStreamResetsTheClient() throws Exception {
        CountDownLatch partReceived = new CountDownLatch(1);
        ScriptedServer server = new ScriptedServer(connection -> {
            connection.readHead();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
            connection.write(randomBytes(100_000));
            partReceived.await();
            connection.reset();
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection connection = harness.client();
            connection.write(feed("1"));
            assertEquals("1000000", RawHttpMessage.header(connection.readHead(), "content-length"));
            assertEquals(1000, connection.readBytes(1000).length);
            partReceived.countDown();
            // The framing of a stream may not show that it was truncated, so the connection must be reset.
            assertThrows(IOException.class, connection::readToEnd, "the truncated stream did not end with a reset");
        }
    }

    /** Regression: a long response of unknown length was buffered until its client's timeout had expired. */
    @Test
    void slowResponseOfUnknownLengthIsStreamedBeforeItIsComplete() throws Exception {
        CountDownLatch partReceived = new CountDownLatch(1);
        ScriptedServer server = new ScriptedServer(connection -> {
            connection.readHead();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
            partReceived.await();
            connection.write("4\r\nlast\r\n0\r\n\r\n");
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection connection = harness.client();
            connection.write(feed("1"));
            assertEquals("chunked", RawHttpMessage.header(connection.readHead(), "transfer-encoding"));
            assertEquals("5\r\nfirst\r\n", new String(connection.readBytes(10)));
            partReceived.countDown();
            assertEquals("4\r\nlast\r\n0\r\n\r\n", new String(connection.readBytes(14)));
        }
    }

    /** A client that does not read must slow the server down rather than fill the node's memory. */
    @Test
    void slowReaderAppliesBackpressureToTheServer() throws Exception {
        AtomicLong sent = new AtomicLong();
        AtomicLong sentAt = new AtomicLong();
        byte[] body = randomBytes(32 << 20);
        ScriptedServer server = new ScriptedServer(connection -> {
            connection.readHead();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
            for (int at = 0; at < body.length; at += 8192) {
                connection.write(java.util.Arrays.copyOfRange(body, at, Math.min(body.length, at + 8192)));
                sentAt.set(System.nanoTime());
                sent.addAndGet(8192);
            }
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection connection = harness.client();
            connection.write(feed("1"));
            connection.readHead();
            // The server is blocked once it has not been able to write for 300 ms.
            TestSupport.await(() -> sent.get() > 0 && System.nanoTime() - sentAt.get() > 300_000_000L);
            assertTrue(sent.get() < body.length, "the complete response was read for a client that does not read");
            assertArrayEquals(body, connection.readBytes(body.length));
        }
    }

    @Test
    void longRequestBodyReachesTheServerCompletely() throws Exception {
        byte[] body = randomBytes(3_000_000);
        java.util.concurrent.BlockingQueue<byte[]> received = new java.util.concurrent.LinkedBlockingQueue<>();
        ScriptedServer server = new ScriptedServer(connection -> {
            connection.readHead();
            received.add(connection.readBytes(body.length));
            connection.write(NodeHarness.ok("got"));
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection connection = harness.client();
            connection.write(post("1", "").replace("Length: 0", "Length: " + body.length));
            connection.write(body);
            assertEquals("got", connection.readMessage().bodyText());
            assertArrayEquals(body, received.take());
        }
    }

    /**
     * A request whose last byte has not been written has not been executed. It is rejected, so that its client may
     * retry it.
     */
    @Test
    void requestNotFullyWrittenInTimeIsRejected() throws Exception {
        byte[] body = randomBytes(24 << 20);
        CountDownLatch finished = new CountDownLatch(1);
        ScriptedServer server = new ScriptedServer(connection -> {
            connection.readHead();
            finished.await();
        });
        try (NodeHarness harness = NodeHarness.start(server)) {
            TestConnection connection = harness.client();
            connection.write(
                    post("1", "").replace("Length: 0", "Length: " + body.length).replace("8.000", "0.500"));
            connection.write(body);
            assertEquals(503, connection.readMessage().status());
            finished.countDown();
        }
    }

    /**
     * Regression: a body was ended twice if writing one chunk made the channel writable again within the write.
     */
    @Test
    void bodyOfAFewChunksIsEndedOnce() throws Exception {
        ScriptedServer server = ScriptedServer.respondingWith(m -> NodeHarness.ok("" + m.body().length));
        try (NodeHarness harness = NodeHarness.start(server)) {
            for (int size : new int[] {65_537, 131_072, 200_000, 250_000}) {
                assertEquals(
                        "" + size,
                        harness.send(post("p" + size, "x".repeat(size))).bodyText());
            }
        }
    }

    @Test
    void bodiesBeyondTheMemoryLimitAreRejectedAndReleased() {
        ResourceLimits limits = new ResourceLimits(1024, 2 << 20);
        BufferedBody big = new BufferedBody(limits, -1);
        io.netty.buffer.ByteBuf more = io.netty.buffer.Unpooled.wrappedBuffer(new byte[1 << 20]);
        assertTrue(!big.add(more), "a long body reserved more than its share of the memory limit");
        BufferedBody small = new BufferedBody(limits, 100);
        assertTrue(small.add(io.netty.buffer.Unpooled.wrappedBuffer(new byte[100])), "no memory left for short bodies");
        big.release();
        small.release();
        assertEquals(0, limits.reservedBytes());
    }
}
