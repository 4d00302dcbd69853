package weldhitch.capture.format;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.zip.CRC32C;

/**
 * The framing of a segment: a file header, then blocks, each with its own header that carries the block's
 * length and checksum (CRC-32C). A block's content is compressed with zstd. Little-endian throughout. Used by
 * {@link SegmentWriter} and {@link SegmentReader}; stateless.
 */
final class BlockFormat {
    static final int FORMAT_VERSION = 1;
    static final int FILE_HEADER_BYTES = 16;
    static final int BLOCK_HEADER_BYTES = 48;
    /** Flag: the block starts with a snapshot document (kind 1) and can be read without any earlier block. */
    static final int FLAG_SELF_CONTAINED = 1;
    /** Limit for a block's uncompressed content, in bytes. */
    static final int MAX_CONTENT_BYTES = 64 << 20;
    /** A block's content is at most this many times as long as its compressed bytes, plus the slack below. */
    private static final long MAX_COMPRESSION_RATIO = 4096;

    private static final long COMPRESSION_RATIO_SLACK_BYTES = 64 << 10;
    /** The ASCII characters "WLITHCAP" in file order. */
    private static final long FILE_MAGIC = 0x5041434854494c57L;
    /** The ASCII characters "WBLK" in file order. */
    static final int BLOCK_MAGIC = 0x4b4c4257;

    private BlockFormat() {}

    /**
     * The header before a block's compressed bytes. Immutable.
     *
     * @param storedBytes compressed length in bytes
     * @param contentBytes uncompressed length in bytes
     * @param checksum CRC-32C of the compressed bytes
     * @param flags bit set, see {@link #FLAG_SELF_CONTAINED}
     * @param blockNumber number of the block in its segment, from 0
     * @param baseTime time that the first record's time is relative to, in nanoseconds
     */
    record Header(int storedBytes, int contentBytes, int checksum, int flags, long blockNumber, long baseTime) {
        boolean isSelfContained() {
            return (flags & FLAG_SELF_CONTAINED) != 0;
        }

        /**
         * Returns whether a writer could have produced these lengths, so that a reader may allocate for them.
         */
        boolean isPlausible() {
            return storedBytes > 0
                    && contentBytes > 0
                    && contentBytes <= MAX_CONTENT_BYTES
                    && contentBytes <= storedBytes * MAX_COMPRESSION_RATIO + COMPRESSION_RATIO_SLACK_BYTES
                    && blockNumber >= 0;
        }
    }

    static ByteBuffer fileHeader() {
        ByteBuffer bytes = ByteBuffer.allocate(FILE_HEADER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
        bytes.putLong(FILE_MAGIC).putInt(FORMAT_VERSION);
        return bytes.putInt(checksum(bytes.duplicate().flip())).flip();
    }

    static void checkFileHeader(String file, ByteBuffer bytes) throws CaptureFormatException {
        ByteBuffer header = bytes.order(ByteOrder.LITTLE_ENDIAN);
        if (header.remaining() < FILE_HEADER_BYTES || header.getLong(0) != FILE_MAGIC) {
            throw new CaptureFormatException(file + ": is not a capture, expected a file that weldhitch wrote");
        }
        if (header.getInt(12) != checksum(header.duplicate().limit(12))) {
            throw new CaptureFormatException(file + ": its first " + FILE_HEADER_BYTES + " bytes are corrupt");
        }
        if (header.getInt(8) != FORMAT_VERSION) {
            throw new CaptureFormatException(file + ": has format version " + header.getInt(8) + ", expected "
                    + FORMAT_VERSION + ": read it with the build that wrote it");
        }
    }

    static void writeHeader(Header header, ByteBuffer target) {
        ByteBuffer bytes = target.order(ByteOrder.LITTLE_ENDIAN).clear();
        bytes.putInt(BLOCK_MAGIC)
                .putInt(0)
                .putInt(header.storedBytes)
                .putInt(header.contentBytes)
                .putInt(header.checksum)
                .putInt(header.flags)
                .putLong(header.blockNumber)
                .putLong(header.baseTime)
                .putLong(0);
        bytes.flip();
        bytes.putInt(4, headerChecksum(bytes));
    }

    /** Returns the block header at the buffer's position, or null if there is no valid one. */
    static Header readHeader(ByteBuffer source) {
        ByteBuffer view = source.duplicate().order(ByteOrder.LITTLE_ENDIAN);
        int offset = view.position();
        if (view.remaining() < BLOCK_HEADER_BYTES
                || view.getInt(offset) != BLOCK_MAGIC
                || view.getInt(offset + 4) != headerChecksum(view)) {
            return null;
        }
        Header header = new Header(
                view.getInt(offset + 8),
                view.getInt(offset + 12),
                view.getInt(offset + 16),
                view.getInt(offset + 20),
                view.getLong(offset + 24),
                view.getLong(offset + 32));
        return header.isPlausible() ? header : null;
    }

    private static int headerChecksum(ByteBuffer header) {
        int offset = header.position();
        return checksum(header.duplicate().position(offset + 8).limit(offset + BLOCK_HEADER_BYTES));
    }

    static int checksum(ByteBuffer bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.duplicate());
        return (int) crc.getValue();
    }
}
