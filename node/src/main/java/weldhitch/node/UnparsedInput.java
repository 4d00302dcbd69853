package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;

/**
 * The queue of bytes that a client has sent and that are not parsed yet: a byte takes far less memory than the message
 * that it is parsed to. Bytes that exceed the limits are discarded, and so is everything after them. Owned by an
 * {@link InputSequencer}; not thread-safe, confined to the event loop.
 */
final class UnparsedInput {
    /** Maximum memory for the unparsed input of one connection. */
    static final int MAX_BYTES = 512 * 1024;
    /** Estimated memory of a chunk in addition to its bytes. */
    static final int CHUNK_OVERHEAD_BYTES = 128;

    /** Bytes that were read together, and their arrival time. */
    record Chunk(ByteBuf bytes, long arrivedAt, int cost) {}

    private final ResourceLimits limits;
    private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
    private int reservedBytes;
    private boolean discarding;

    UnparsedInput(ResourceLimits limits) {
        this.limits = limits;
    }

    boolean isEmpty() {
        return chunks.isEmpty();
    }

    /** Returns whether input has been discarded; nothing is queued after it. */
    boolean isDiscarding() {
        return discarding;
    }

    /** Returns the memory that the queue occupies. */
    int reservedBytes() {
        return reservedBytes;
    }

    /** Queues a copy of the readable bytes, because even one byte would pin its read buffer. */
    void add(ByteBuf bytes, long arrivedAt) {
        int cost = bytes.readableBytes() + CHUNK_OVERHEAD_BYTES;
        if (discarding || reservedBytes + cost > MAX_BYTES || !limits.tryReserve(cost, reservedBytes)) {
            discarding = true;
            return;
        }
        reservedBytes += cost;
        chunks.add(new Chunk(Unpooled.copiedBuffer(bytes), arrivedAt, cost));
    }

    /** Returns the oldest chunk, without its bytes that have been read already; null if the queue is empty. */
    Chunk first() {
        Chunk first = chunks.peek();
        while (first != null && !first.bytes.isReadable()) {
            removeFirst();
            first = chunks.peek();
        }
        return first;
    }

    private void removeFirst() {
        Chunk removed = chunks.remove();
        removed.bytes.release();
        reservedBytes -= removed.cost;
        limits.release(removed.cost);
    }

    /** Discards everything that is queued, and all later input. */
    void discard() {
        discarding = true;
        while (!chunks.isEmpty()) {
            removeFirst();
        }
    }
}
