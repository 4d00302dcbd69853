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
 * Writes one segment. Entries gather in a block; {@link #flush} writes it whole and syncs it, so that what a crash takes
 * is the block at hand and no more. Owned by one thread.
 */
public final class SegmentWriter implements Closeable {
    /** A block is written when it holds so many bytes. */
    public static final int FULL = 256 << 10;
    private static final int LEVEL = 3;

    private final FileChannel channel;
    private final RecordEncoder encoder = new RecordEncoder();
    private final ByteBuffer header = ByteBuffer.allocateDirect(Blocks.HEADER);
    private ByteBuffer stored = ByteBuffer.allocateDirect(64 << 10);
    private long blocks;
    private long blockTime;
    private boolean fromHere;
    private long written;
    private long content;

    /** Makes the file, readable by its owner alone. */
    public SegmentWriter(Path file) throws IOException {
        this(FileChannel.open(file, Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE),
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"))));
    }

    /** Writes to a channel that it owns from here on. */
    public SegmentWriter(FileChannel channel) throws IOException {
        this.channel = channel;
        try {
            write(Blocks.fileHeader());
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /**
     * Adds an entry to the block at hand. A {@link Entry.Known} begins a block of its own, so that reading can begin
     * there; the one before it must have been flushed.
     *
     * @return whether it was added; where not, nothing can be until the next {@link Entry.Known}
     */
    public boolean add(Entry entry) {
        boolean known = entry instanceof Entry.Known;
        if (known && encoder.length() > 0) {
            throw new IllegalStateException("a block begins with what is known: flush first");
        }
        if (encoder.length() == 0) {
            blockTime = encoder.time();
            fromHere = known;
        }
        try {
            encoder.encode(entry);
            return true;
        } catch (RecordEncoder.DoesNotFitException e) {
            return false;
        }
    }

    /** Whether the block at hand is as long as it should be. */
    public boolean full() {
        return encoder.length() >= FULL;
    }

    /** Whether room for new words runs out, so that a {@link Entry.Known} should come. */
    public boolean wordsRunOut() {
        return encoder.words() >= RecordEncoder.WORDS_NEARLY_ALL;
    }

    /** Bytes of the file. */
    public long written() {
        return written;
    }

    /** Bytes of its records before compression. */
    public long content() {
        return content;
    }

    /** Writes the block at hand and asks the system to keep it. */
    public void flush() throws IOException {
        if (encoder.length() == 0) {
            return;
        }
        ByteBuffer records = encoder.content();
        int length = records.remaining();
        int bound = (int) Zstd.compressBound(length);
        if (stored.capacity() < bound) {
            stored = ByteBuffer.allocateDirect(bound);
        }
        stored.clear();
        // Direct buffers: compressing an array would hold the collector off, and with it the event loop.
        int size;
        try {
            size = (int) Zstd.compressDirectByteBuffer(stored, 0, bound, records, 0, length, LEVEL);
        } catch (ZstdException e) {
            throw new IOException("compression: " + e.getMessage(), e);
        }
        stored.position(0).limit(size);
        Blocks.put(new Blocks.Header(size, length, Blocks.sum(stored), fromHere ? Blocks.FROM_HERE : 0, blocks++, blockTime),
            header);
        write(header);
        write(stored);
        channel.force(false);
        content += length;
        encoder.clear();
    }

    private void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            written += channel.write(bytes);
        }
    }

    /** Closes the file; what was not flushed is lost. */
    @Override
    public void close() throws IOException {
        channel.close();
    }
}
