package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;

/** Tests the responses that {@link ClientResponseWriter} writes, and how often it evaluates its close condition. */
class ClientResponseWriterTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Clock clock = new Clock();
    private final ResourceLimits limits = new ResourceLimits(1024, 64L << 20);
    private final ConnectionDeadlines deadlines = new ConnectionDeadlines(clock.now());
    private boolean closeRequired;
    private int evaluations;
    private final ClientResponseWriter writer = new ClientResponseWriter(
            channel,
            clock,
            limits,
            deadlines,
            () -> {
                evaluations++;
                return closeRequired;
            },
            () -> false);

    private ServerResponse serverResponse(long length, String body) {
        BufferedBody buffered = new BufferedBody(limits, length);
        assertTrue(buffered.add(Unpooled.copiedBuffer(body.getBytes(java.nio.charset.StandardCharsets.US_ASCII))));
        return new ServerResponse("text/plain", length, buffered);
    }

    @Test
    void writeStatusRejectionHasRetryAfterAndNoBody() {
        writer.keepAlive(true);
        writer.writeStatus(HttpResponseStatus.SERVICE_UNAVAILABLE, 1_000_000_000L, null);

        FullHttpResponse response = channel.readOutbound();
        assertEquals(HttpResponseStatus.SERVICE_UNAVAILABLE, response.status());
        assertEquals("0", response.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        assertEquals(Headers.formatSeconds(1_000_000_000L), response.headers().get(HttpHeaderNames.RETRY_AFTER));
        assertTrue(HttpUtil.isKeepAlive(response));
        assertEquals(1, evaluations);
        assertFalse(deadlines.hasPendingWrites());
    }

    @Test
    void writeServedWhenTheConnectionMustCloseSendsConnectionClose() {
        writer.keepAlive(true);
        closeRequired = true;
        writer.writeServed(serverResponse(2, "ok"), null);

        FullHttpResponse response = channel.readOutbound();
        assertEquals("2", response.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        assertEquals("text/plain", response.headers().get(HttpHeaderNames.CONTENT_TYPE));
        assertFalse(HttpUtil.isKeepAlive(response));
        assertFalse(writer.keepAlive());
        assertEquals(1, evaluations);
    }

    @Test
    void startStreamWithoutALengthIsChunkedInHttp11AndEndsByCloseInHttp10() {
        writer.requestVersion(HttpVersion.HTTP_1_1);
        writer.keepAlive(true);
        writer.startStream(serverResponse(-1, ""), null);
        writer.streamData(Unpooled.wrappedBuffer(new byte[3]));
        writer.endStream();
        HttpResponse chunked = channel.readOutbound();
        assertTrue(HttpUtil.isTransferEncodingChunked(chunked));
        assertTrue(writer.keepAlive());
        HttpContent content = channel.readOutbound();
        assertEquals(3, content.content().readableBytes());
        content.release();
        assertEquals(LastHttpContent.EMPTY_LAST_CONTENT, channel.readOutbound());

        writer.requestVersion(HttpVersion.HTTP_1_0);
        writer.startStream(serverResponse(-1, ""), null);
        channel.flush();
        HttpResponse untilClose = channel.readOutbound();
        assertEquals(HttpVersion.HTTP_1_0, untilClose.protocolVersion());
        assertNull(untilClose.headers().get(HttpHeaderNames.TRANSFER_ENCODING));
        assertFalse(writer.keepAlive());
    }

    @Test
    void resetStreamClosesTheChannel() {
        writer.resetStream();
        assertFalse(channel.isOpen());
    }
}
