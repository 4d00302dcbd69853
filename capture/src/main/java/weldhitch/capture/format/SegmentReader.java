package weldhitch.capture.format;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;

/**
 * Reads one segment, even a corrupt or truncated one. A corrupt block is reported and skipped, together with
 * the blocks after it up to the next one that can be read on its own. Reading ends at a truncated last block.
 * Each instance is used by one thread for one call of {@link #read(Path, Consumer)}.
 */
final class SegmentReader {
    private static final int SEARCH_CHUNK_BYTES = 1 << 16;

    private final String file;
    private final FileChannel channel;
    private final long size;
    private final RecordDecoder decoder = new RecordDecoder();

    private SegmentReader(Path path, FileChannel channel) throws IOException {
        this.file = path.toString();
        this.channel = channel;
        this.size = channel.size();
    }

    /**
     * Delivers all entries, with a {@link CaptureEntry.Corruption} for each part that cannot be read.
     *
     * @throws CaptureFormatException if the file is not a capture of this format
     */
    static void read(Path path, Consumer<CaptureEntry> sink) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            new SegmentReader(path, channel).read(sink);
        }
    }

    private void read(Consumer<CaptureEntry> sink) throws IOException {
        BlockFormat.checkFileHeader(file, readBytes(0, BlockFormat.FILE_HEADER_BYTES));
        long offset = BlockFormat.FILE_HEADER_BYTES;
        long expectedNumber = 0;
        boolean inSequence = false;
        while (offset < size) {
            BlockFormat.Header header = BlockFormat.readHeader(readBytes(offset, BlockFormat.BLOCK_HEADER_BYTES));
            if (header == null) {
                long nextBlockAt = findNextBlock(offset + 1);
                boolean truncated = nextBlockAt < 0 && size - offset < BlockFormat.BLOCK_HEADER_BYTES;
                sink.accept(new CaptureEntry.Corruption(
                        file,
                        offset,
                        expectedNumber,
                        truncated
                                ? "truncated: " + (size - offset) + " bytes of a block header"
                                : nextBlockAt < 0
                                        ? "no block starts here or later in the file"
                                        : "no block starts here; the next one starts at byte " + nextBlockAt));
                if (nextBlockAt < 0) {
                    return;
                }
                inSequence = false;
                offset = nextBlockAt;
                continue;
            }
            long blockEnd = offset + BlockFormat.BLOCK_HEADER_BYTES + header.storedBytes();
            if (blockEnd > size) {
                sink.accept(new CaptureEntry.Corruption(
                        file,
                        offset,
                        header.blockNumber(),
                        "truncated: " + (size - offset) + " of " + (blockEnd - offset) + " bytes"));
                return;
            }
            if (header.blockNumber() != expectedNumber && inSequence) {
                sink.accept(new CaptureEntry.Corruption(
                        file,
                        offset,
                        expectedNumber,
                        "is missing; found block " + header.blockNumber() + " in its place"));
                inSequence = false;
            }
            expectedNumber = header.blockNumber() + 1;
            if (header.isSelfContained()) {
                decoder.reset();
                inSequence = true;
            }
            if (inSequence) {
                inSequence = decodeBlock(header, offset, sink);
            }
            offset = blockEnd;
        }
    }

    private boolean decodeBlock(BlockFormat.Header header, long offset, Consumer<CaptureEntry> sink)
            throws IOException {
        try {
            ByteBuffer stored = readBytes(offset + BlockFormat.BLOCK_HEADER_BYTES, header.storedBytes());
            if (BlockFormat.checksum(stored) != header.checksum()) {
                throw new CaptureFormatException("checksum does not match");
            }
            byte[] content = Zstd.decompress(stored.array(), header.contentBytes());
            if (content.length != header.contentBytes()) {
                throw new CaptureFormatException(
                        "has " + content.length + " bytes of content, expected " + header.contentBytes());
            }
            decoder.decode(ByteBuffer.wrap(content), header.baseTime(), sink);
            return true;
        } catch (CaptureFormatException | ZstdException e) {
            sink.accept(new CaptureEntry.Corruption(
                    file, offset, header.blockNumber(), e.getMessage() + "; skipped up to the next snapshot"));
            return false;
        }
    }

    /** Returns the offset of the next block with a valid header, or -1 if there is none. */
    private long findNextBlock(long start) throws IOException {
        for (long offset = start; offset + BlockFormat.BLOCK_HEADER_BYTES <= size; offset += SEARCH_CHUNK_BYTES) {
            ByteBuffer chunk = readBytes(
                    offset, (int) Math.min(SEARCH_CHUNK_BYTES + BlockFormat.BLOCK_HEADER_BYTES - 1, size - offset));
            for (int i = 0; i + BlockFormat.BLOCK_HEADER_BYTES <= chunk.limit(); i++) {
                if (chunk.getInt(i) == BlockFormat.BLOCK_MAGIC) {
                    BlockFormat.Header header =
                            BlockFormat.readHeader(chunk.duplicate().position(i));
                    if (header != null) {
                        return offset + i;
                    }
                }
            }
        }
        return -1;
    }

    private ByteBuffer readBytes(long offset, int maxBytes) throws IOException {
        ByteBuffer bytes =
                ByteBuffer.allocate((int) Math.min(maxBytes, size - offset)).order(ByteOrder.LITTLE_ENDIAN);
        while (bytes.hasRemaining() && channel.read(bytes, offset + bytes.position()) >= 0) {
            // Repeats until the buffer is full, or the end is reached because the file has been truncated meanwhile.
        }
        return bytes.flip();
    }
}
