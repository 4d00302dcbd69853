package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** Tests the limits of {@link PipelinedInput} and the release of the memory that it reserves. */
class PipelinedInputTest {
    private static final long ARRIVED_AT = 7;

    private final ResourceLimits limits = new ResourceLimits(1024, 64L << 20);
    private final PipelinedInput input = new PipelinedInput(limits);

    private static DefaultHttpRequest head() {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    }

    private static ByteBuf buffer(int size) {
        return Unpooled.buffer(size).writeZero(size);
    }

    @Test
    void pollReturnsMessagesInOrderAndReleasesTheirMemory() {
        DefaultHttpRequest first = head();
        DefaultHttpRequest second = head();
        input.enqueue(first, ARRIVED_AT);
        input.enqueue(second, ARRIVED_AT);
        assertEquals(2 * PipelinedInput.HEAD_BYTES, limits.reservedBytes());

        assertSame(first, input.poll().message());
        assertEquals(PipelinedInput.HEAD_BYTES, limits.reservedBytes());
        assertSame(second, input.poll().message());
        assertEquals(0, limits.reservedBytes());
        assertTrue(input.isEmpty());
        assertFalse(input.isExhausted());
    }

    @Test
    void pollReturnsWhenTheMessageArrived() {
        input.enqueue(head(), 5);
        input.enqueue(head(), 9);
        assertEquals(5, input.poll().arrivedAt());
        assertEquals(9, input.poll().arrivedAt());
    }

    @Test
    void enqueueBodyChunkIsCopiedOutOfItsReadBuffer() {
        ByteBuf readBuffer = buffer(1000);
        input.enqueue(new DefaultHttpContent(readBuffer), ARRIVED_AT);

        assertEquals(0, readBuffer.refCnt());
        assertEquals(PipelinedInput.CONTENT_OVERHEAD_BYTES + 1000, limits.reservedBytes());
        HttpContent queued = (HttpContent) input.poll().message();
        assertEquals(1000, queued.content().readableBytes());
        queued.release();
    }

    @Test
    void enqueueAboveTheLimitDiscardsTheMessageAndKeepsTheEarlierOnes() {
        int maxHeads = PipelinedInput.MAX_BYTES / PipelinedInput.HEAD_BYTES;
        for (int i = 0; i < maxHeads; i++) {
            input.enqueue(head(), ARRIVED_AT);
        }
        assertFalse(input.isDiscarding());

        ByteBuf readBuffer = buffer(1);
        input.enqueue(new DefaultHttpContent(readBuffer), ARRIVED_AT);
        assertEquals(0, readBuffer.refCnt());
        assertTrue(input.isDiscarding());
        assertFalse(input.isExhausted());
        assertEquals(PipelinedInput.MAX_BYTES, limits.reservedBytes());

        input.release();
        assertTrue(input.isExhausted());
        assertEquals(0, limits.reservedBytes());
    }

    @Test
    void enqueueWhenTheNodesMemoryIsReservedDiscards() {
        ResourceLimits exhausted = new ResourceLimits(1024, 0);
        PipelinedInput rejecting = new PipelinedInput(exhausted);
        rejecting.enqueue(head(), ARRIVED_AT);
        assertTrue(rejecting.isExhausted());
        assertEquals(0, exhausted.reservedBytes());
    }
}
