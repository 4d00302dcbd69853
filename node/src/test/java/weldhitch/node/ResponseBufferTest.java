package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import weldhitch.node.ResponseBuffer.Disposition;

/** Tests when {@link ResponseBuffer} buffers a response, forwards it, or reports it as unusable. */
class ResponseBufferTest {
    private final ResourceLimits limits = new ResourceLimits(1024, 64L << 20);

    private ResponseBuffer buffer(long declaredLength) {
        return new ResponseBuffer(
                new ServerResponse("text/plain", declaredLength, new BufferedBody(limits, declaredLength)));
    }

    private static ByteBuf bytes(int count) {
        return Unpooled.buffer(count).writeZero(count);
    }

    @Test
    void addClassThatIsNotStreamedIsUnusableAboveTheLimit() {
        ResponseBuffer buffer = buffer(-1);
        assertEquals(Disposition.BUFFERED, buffer.add(bytes(ResponseBuffer.MAX_BUFFERED_BYTES), false));
        assertEquals(Disposition.UNUSABLE, buffer.add(bytes(1), false));
    }

    @Test
    void addStreamedClassForwardsAboveTheLimitOfItsFraming() {
        ResponseBuffer sized = buffer(ResponseBuffer.MAX_BUFFERED_BYTES);
        assertEquals(Disposition.BUFFERED, sized.add(bytes(ResponseBuffer.MAX_BUFFERED_BYTES), true));
        ResponseBuffer tooLong = buffer(ResponseBuffer.MAX_BUFFERED_BYTES + 1L);
        assertEquals(Disposition.FORWARD, tooLong.add(bytes(1), true));
        ResponseBuffer unsized = buffer(-1);
        assertEquals(Disposition.BUFFERED, unsized.add(bytes(ResponseBuffer.MAX_BUFFERED_UNSIZED_BYTES), true));
        ByteBuf next = bytes(1);
        assertEquals(Disposition.FORWARD, unsized.add(next, true));
        assertEquals(1, next.readableBytes(), "the forwarded bytes were consumed");
    }

    @Test
    void addAfterTheBufferingTimeForwards() {
        ResponseBuffer buffer = buffer(-1);
        buffer.stopBuffering();
        assertEquals(Disposition.FORWARD, buffer.add(bytes(1), true));
        assertTrue(buffer.isEmpty());
    }

    @Test
    void addWithoutMemoryIsUnusableOrForwarded() {
        ResourceLimits exhausted = new ResourceLimits(1024, 0);
        ServerResponse response = new ServerResponse(null, 1, new BufferedBody(exhausted, 1));
        assertEquals(Disposition.UNUSABLE, new ResponseBuffer(response).add(bytes(1), false));
        assertEquals(Disposition.FORWARD, new ResponseBuffer(response).add(bytes(1), true));
    }

    @Test
    void releaseReturnsTheReservedMemory() {
        ResponseBuffer buffer = buffer(100);
        buffer.add(bytes(100), false);
        assertEquals(100, limits.reservedBytes());
        buffer.release();
        assertEquals(0, limits.reservedBytes());
    }
}
