package weldhitch.capture.format;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;

/**
 * Writes one segment. Entries are collected in a block; {@link #flush} writes the complete block and syncs it,
 * so that a crash loses at most the current block. Owned by one thread.
 */
public final class SegmentWriter implements Closeable {
    /** A block is flushed once its uncompressed records reach this size, in bytes. */
    public static final int TARGET_BLOCK_BYTES = 256 << 10;

    private static final int COMPRESSION_LEVEL = 3;

    private final FileChannel channel;
    private final RecordEncoder encoder = new RecordEncoder();
    private final ByteBuffer headerBuffer = ByteBuffer.allocateDirect(BlockFormat.BLOCK_HEADER_BYTES);
    private ByteBuffer compressedBuffer = ByteBuffer.allocateDirect(64 << 10);
    private long blockCount;
    private long blockBaseTime;
    private boolean selfContained;
    private long bytesWritten;
    private long uncompressedBytes;

    /** Creates the file, readable and writable by its owner only; fails if it exists. */
    public SegmentWriter(Path file) throws IOException {
        this(FileChannel.open(
                file,
                Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"))));
    }

    /** Writes to the given channel and takes ownership of it. */
    public SegmentWriter(FileChannel channel) throws IOException {
        this.channel = channel;
        try {
            write(BlockFormat.fileHeader());
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /**
     * Adds an entry to the current block. A {@link CaptureEntry.SnapshotRecord} starts a new block, so that reading
     * can start there; the block before it must have been flushed.
     *
     * @return whether it was added; if not, no entry may be added before the next {@link CaptureEntry.SnapshotRecord}
     */
    public boolean add(CaptureEntry entry) {
        boolean isSnapshot = entry instanceof CaptureEntry.SnapshotRecord;
        if (isSnapshot && encoder.length() > 0) {
            throw new IllegalStateException("a snapshot must start a block: flush the current block first");
        }
        if (encoder.length() == 0) {
            blockBaseTime = encoder.lastTimestamp();
            selfContained = isSnapshot;
        }
        try {
            encoder.encode(entry);
            return true;
        } catch (RecordEncoder.UnencodableEntryException e) {
            return false;
        }
    }

    /** Returns whether the current block has reached its target size. */
    public boolean isBlockFull() {
        return encoder.length() >= TARGET_BLOCK_BYTES;
    }

    /**
     * Returns whether the string table is nearly full, so that a {@link CaptureEntry.SnapshotRecord} should be added
     * soon.
     */
    public boolean isStringTableNearlyFull() {
        return encoder.stringCount() >= RecordEncoder.STRING_TABLE_NEARLY_FULL;
    }

    /** Returns the number of bytes written to the file. */
    public long bytesWritten() {
        return bytesWritten;
    }

    /** Returns the number of bytes of the flushed records before compression. */
    public long uncompressedBytes() {
        return uncompressedBytes;
    }

    /** Writes the current block, if it is not empty, and syncs it to the disk. */
    public void flush() throws IOException {
        if (encoder.length() == 0) {
            return;
        }
        ByteBuffer records = encoder.content();
        int recordBytes = records.remaining();
        int maxCompressedBytes = (int) Zstd.compressBound(recordBytes);
        if (compressedBuffer.capacity() < maxCompressedBytes) {
            compressedBuffer = ByteBuffer.allocateDirect(maxCompressedBytes);
        }
        compressedBuffer.clear();
        // Uses direct buffers: compressing an array would block the garbage collector and thereby the event loop.
        int compressedBytes;
        try {
            compressedBytes = (int) Zstd.compressDirectByteBuffer(
                    compressedBuffer, 0, maxCompressedBytes, records, 0, recordBytes, COMPRESSION_LEVEL);
        } catch (ZstdException e) {
            throw new IOException("cannot compress a block: " + e.getMessage(), e);
        }
        compressedBuffer.position(0).limit(compressedBytes);
        BlockFormat.writeHeader(
                new BlockFormat.Header(
                        compressedBytes,
                        recordBytes,
                        BlockFormat.checksum(compressedBuffer),
                        selfContained ? BlockFormat.FLAG_SELF_CONTAINED : 0,
                        blockCount++,
                        blockBaseTime),
                headerBuffer);
        write(headerBuffer);
        write(compressedBuffer);
        channel.force(false);
        uncompressedBytes += recordBytes;
        encoder.clear();
    }

    private void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            bytesWritten += channel.write(bytes);
        }
    }

    /** Closes the file. Entries that have not been flushed are lost. */
    @Override
    public void close() throws IOException {
        channel.close();
    }
}
