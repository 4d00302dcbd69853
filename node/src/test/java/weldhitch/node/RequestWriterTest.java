package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;

/** Tests how {@link RequestWriter} writes small and large requests, and when an attempt counts as written. */
class RequestWriterTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ResourceLimits limits = new ResourceLimits(1024, 64L << 20);
    private Attempt pending;
    private int failures;
    private final RequestWriter writer = new RequestWriter(channel, new RequestWriter.Listener() {
        @Override
        public boolean isPending(Attempt attempt) {
            return attempt == pending;
        }

        @Override
        public void progressed() {}

        @Override
        public void writeFailed() {
            failures++;
        }
    });

    private Attempt attempt(int bodyBytes) {
        BufferedBody body = new BufferedBody(limits, bodyBytes);
        assertTrue(body.add(Unpooled.buffer(bodyBytes).writeZero(bodyBytes)));
        RequestClass requestClass =
                new RequestClass("rooms", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0, 0, 1, 1, 0.5, false);
        ClientRequest request =
                new ClientRequest("1", requestClass, HttpMethod.POST, "/rooms", new DefaultHttpHeaders(), body);
        return new Attempt(request, 0, "s0", 0, 1, Long.MAX_VALUE);
    }

    @Test
    void writeSmallRequestIsOneMessage() {
        pending = attempt(10);
        writer.reset();
        writer.write(pending, new DefaultHttpHeaders());
        FullHttpRequest written = assertInstanceOf(FullHttpRequest.class, channel.readOutbound());
        assertEquals(10, written.content().readableBytes());
        assertTrue(writer.requestWritten());
        assertTrue(pending.requestWritten);
        writer.reset();
        assertFalse(writer.requestWritten());
    }

    @Test
    void writeLargeRequestIsWrittenChunkByChunk() {
        int size = 200_000;
        pending = attempt(size);
        writer.reset();
        writer.write(pending, new DefaultHttpHeaders());
        assertInstanceOf(HttpRequest.class, channel.readOutbound());
        int bytes = 0;
        Object message = channel.readOutbound();
        while (message instanceof HttpContent content && message != LastHttpContent.EMPTY_LAST_CONTENT) {
            bytes += content.content().readableBytes();
            message = channel.readOutbound();
        }
        assertEquals(size, bytes);
        assertEquals(LastHttpContent.EMPTY_LAST_CONTENT, message);
        assertTrue(writer.requestWritten());
    }

    @Test
    void writeStopsForAnAttemptThatHasEnded() {
        Attempt ended = attempt(200_000);
        writer.reset();
        writer.write(ended, new DefaultHttpHeaders());
        channel.flush();
        assertInstanceOf(HttpRequest.class, channel.readOutbound());
        assertNull(channel.readOutbound());
        assertFalse(writer.requestWritten());
        assertFalse(ended.requestWritten);
    }

    @Test
    void writeOnAClosedChannelReportsTheFailure() {
        pending = attempt(10);
        channel.close();
        writer.reset();
        writer.write(pending, new DefaultHttpHeaders());
        channel.runPendingTasks();
        assertEquals(1, failures);
        assertFalse(writer.requestWritten());
    }
}
