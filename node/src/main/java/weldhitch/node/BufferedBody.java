package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that is buffered completely in memory and accounted for in {@link ResourceLimits}. The bytes are copied
 * from the read buffers into separate chunks: a peer that sends single bytes would otherwise pin one read buffer
 * per byte, which the accounting would not include. Not thread-safe, confined to the event loop.
 */
final class BufferedBody {
    static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final ResourceLimits limits;
    private final List<byte[]> chunks = new ArrayList<>(1);
    private int firstChunkBytes;
    private int bytesInLastChunk;
    private long size;
    private long reservedBytes;

    /** Creates an empty body; {@code statedLength} is the length that the peer states, or -1. */
    BufferedBody(ResourceLimits limits, long statedLength) {
        this.limits = limits;
        this.firstChunkBytes = (int) Math.min(MAX_CHUNK_BYTES, statedLength < 0 ? 1024 : Math.max(1, statedLength));
    }

    /** Appends the buffer's content; returns false if the memory limit is reached. */
    boolean add(ByteBuf buffer) {
        while (buffer.isReadable()) {
            if (chunks.isEmpty() || bytesInLastChunk == lastChunk().length) {
                int chunkBytes = chunks.isEmpty()
                        ? firstChunkBytes
                        : Math.max(MAX_CHUNK_BYTES / 8, (int) Math.min(MAX_CHUNK_BYTES, size));
                if (!limits.tryReserve(chunkBytes, reservedBytes)) {
                    return false;
                }
                reservedBytes += chunkBytes;
                chunks.add(new byte[chunkBytes]);
                bytesInLastChunk = 0;
            }
            int count = Math.min(buffer.readableBytes(), lastChunk().length - bytesInLastChunk);
            buffer.readBytes(lastChunk(), bytesInLastChunk, count);
            bytesInLastChunk += count;
            size += count;
        }
        return true;
    }

    private byte[] lastChunk() {
        return chunks.get(chunks.size() - 1);
    }

    long size() {
        return size;
    }

    int chunks() {
        return chunks.size();
    }

    ByteBuf chunk(int index) {
        byte[] chunk = chunks.get(index);
        return Unpooled.wrappedBuffer(chunk, 0, index == chunks.size() - 1 ? bytesInLastChunk : chunk.length);
    }

    /** Returns the body as one buffer, for bodies that are written in a single write. */
    ByteBuf asSingleBuffer() {
        ByteBuf[] buffers = new ByteBuf[chunks.size()];
        for (int i = 0; i < buffers.length; i++) {
            buffers[i] = chunk(i);
        }
        return Unpooled.wrappedBuffer(buffers.length, buffers);
    }

    void release() {
        limits.release(reservedBytes);
        reservedBytes = 0;
        chunks.clear();
        size = 0;
    }
}
