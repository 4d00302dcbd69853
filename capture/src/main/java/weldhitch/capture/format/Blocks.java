package weldhitch.capture.format;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.zip.CRC32C;

/**
 * The framing of a segment: a file header, then blocks, each with a header of its own that says how long it is and what
 * its bytes sum to (CRC-32C). A block's content is compressed by zstd. Little-endian throughout.
 */
final class Blocks {
    static final int FORMAT = 1;
    static final int FILE_HEADER = 16;
    static final int HEADER = 48;
    /** The block begins with a document of kind 1, and is read without anything before it. */
    static final int FROM_HERE = 1;
    /** No block's content is longer than this. */
    static final int MOST_CONTENT = 64 << 20;
    /** Nor longer than this many times what is stored of it, and the slack. */
    private static final long MOST_RATIO = 4096;
    private static final long SLACK = 64 << 10;
    private static final long FILE_MAGIC = 0x5041434854494c57L;
    static final int MAGIC = 0x4b4c4257;

    private Blocks() {
    }

    /** What stands before a block's bytes. {@code time}: what its first record's time counts from, nanoseconds. */
    record Header(int stored, int content, int sum, int flags, long number, long time) {
        boolean fromHere() {
            return (flags & FROM_HERE) != 0;
        }

        /** Whether these lengths are such as a writer makes, so that a reader may make room for them. */
        boolean sound() {
            return stored > 0 && content > 0 && content <= MOST_CONTENT
                && content <= stored * MOST_RATIO + SLACK && number >= 0;
        }
    }

    static ByteBuffer fileHeader() {
        ByteBuffer bytes = ByteBuffer.allocate(FILE_HEADER).order(ByteOrder.LITTLE_ENDIAN);
        bytes.putLong(FILE_MAGIC).putInt(FORMAT);
        return bytes.putInt(sum(bytes.duplicate().flip())).flip();
    }

    static void checkFileHeader(String file, ByteBuffer bytes) throws CaptureFormatException {
        ByteBuffer b = bytes.order(ByteOrder.LITTLE_ENDIAN);
        if (b.remaining() < FILE_HEADER || b.getLong(0) != FILE_MAGIC) {
            throw new CaptureFormatException(file + ": is no capture, expected one that weldhitch wrote");
        }
        if (b.getInt(12) != sum(b.duplicate().limit(12))) {
            throw new CaptureFormatException(file + ": its first " + FILE_HEADER + " bytes are damaged");
        }
        if (b.getInt(8) != FORMAT) {
            throw new CaptureFormatException(file + ": is of format " + b.getInt(8) + ", expected " + FORMAT
                + ": read it by the build that wrote it");
        }
    }

    static void put(Header h, ByteBuffer to) {
        ByteBuffer bytes = to.order(ByteOrder.LITTLE_ENDIAN).clear();
        bytes.putInt(MAGIC).putInt(0).putInt(h.stored).putInt(h.content).putInt(h.sum).putInt(h.flags)
            .putLong(h.number).putLong(h.time).putLong(0);
        bytes.flip();
        bytes.putInt(4, headerSum(bytes));
    }

    /** The header that begins here; null where none does. */
    static Header get(ByteBuffer from) {
        ByteBuffer b = from.duplicate().order(ByteOrder.LITTLE_ENDIAN);
        int at = b.position();
        if (b.remaining() < HEADER || b.getInt(at) != MAGIC || b.getInt(at + 4) != headerSum(b)) {
            return null;
        }
        Header header = new Header(b.getInt(at + 8), b.getInt(at + 12), b.getInt(at + 16), b.getInt(at + 20),
            b.getLong(at + 24), b.getLong(at + 32));
        return header.sound() ? header : null;
    }

    private static int headerSum(ByteBuffer header) {
        int at = header.position();
        return sum(header.duplicate().position(at + 8).limit(at + HEADER));
    }

    static int sum(ByteBuffer bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.duplicate());
        return (int) crc.getValue();
    }
}
