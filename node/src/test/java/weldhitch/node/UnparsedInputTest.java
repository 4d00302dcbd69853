package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

/** Tests the order, the limits and the memory accounting of {@link UnparsedInput}. */
class UnparsedInputTest {
    private final ResourceLimits limits = new ResourceLimits(1024, 64L << 20);
    private final UnparsedInput input = new UnparsedInput(limits);

    private static ByteBuf bytes(int count) {
        return Unpooled.buffer(count).writeZero(count);
    }

    @Test
    void chunksAreReturnedInOrderUntilTheyAreRead() {
        input.add(bytes(10), 5);
        input.add(bytes(20), 9);
        assertEquals(5, input.first().arrivedAt());
        input.first().bytes().skipBytes(4);
        assertEquals(6, input.first().bytes().readableBytes());
        input.first().bytes().skipBytes(6);
        assertEquals(9, input.first().arrivedAt());
        assertEquals(20 + UnparsedInput.CHUNK_OVERHEAD_BYTES, limits.reservedBytes());
        input.first().bytes().skipBytes(20);
        assertNull(input.first());
        assertEquals(0, limits.reservedBytes());
    }

    @Test
    void inputAboveTheLimitIsDiscardedAndSoIsEverythingAfterIt() {
        int chunkBytes = UnparsedInput.MAX_BYTES / 4;
        for (int i = 0; i < 3; i++) {
            input.add(bytes(chunkBytes), i);
        }
        assertFalse(input.isDiscarding());
        input.add(bytes(chunkBytes), 3);
        assertTrue(input.isDiscarding());
        int reserved = input.reservedBytes();
        input.add(bytes(1), 4);
        assertEquals(reserved, input.reservedBytes());
        assertEquals(reserved, limits.reservedBytes());
        input.discard();
        assertEquals(0, limits.reservedBytes());
        assertTrue(input.isEmpty());
    }

    @Test
    void inputIsDiscardedWhenTheNodesMemoryIsReserved() {
        UnparsedInput rejecting = new UnparsedInput(new ResourceLimits(1024, 0));
        rejecting.add(bytes(1), 0);
        assertTrue(rejecting.isDiscarding());
        assertTrue(rejecting.isEmpty());
    }
}
