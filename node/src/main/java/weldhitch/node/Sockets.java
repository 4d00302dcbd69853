package weldhitch.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;

/** Buffer sizes and the buffer allocator that all sockets of a node share. Stateless. */
final class Sockets {
    static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int PAGE_BYTES = 8 * 1024;
    /** Results in chunks of 512 KB (page size times 2^6): a node with little memory uses few buffers at any moment. */
    private static final int MAX_ORDER = 6;

    private static final int SMALL_CACHE_SIZE = 64;
    private static final int NORMAL_CACHE_SIZE = 16;

    private Sockets() {}

    /** Returns an allocator with one arena, because only one thread reads and writes. */
    static ByteBufAllocator allocator() {
        return new PooledByteBufAllocator(
                true, 1, 1, PAGE_BYTES, MAX_ORDER, SMALL_CACHE_SIZE, NORMAL_CACHE_SIZE, false);
    }
}
