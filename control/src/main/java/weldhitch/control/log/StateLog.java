package weldhitch.control.log;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.zip.CRC32C;

/**
 * A file of states, each record a whole one, so that the last sound record is all that counts. A record is its length (4
 * bytes), the CRC32C of length and state (4) and the state, big-endian. {@link #write} returns once the state is on the
 * device; one that fails leaves the file as it was, and the state before it in force.
 *
 * <p>A record that ends before its length says was never acknowledged: it is cut off at the next open. One of full length
 * with a wrong checksum may have been, so the log says that it is {@link #suspect}. One process at a time holds the log.
 */
public final class StateLog implements Closeable {
    /** The longest state, in bytes. */
    public static final int LONGEST = 16 << 20;
    private static final int HEAD = 8;

    private final Path file;
    private final long compactAt;
    private final FileChannel lockChannel;
    private final Device device;
    private FileChannel channel;
    private byte[] state;
    private long end;
    private long cut;
    private boolean suspect;
    private boolean broken;

    private StateLog(Path file, long compactAt, FileChannel lockChannel, Device device) {
        this.device = device;
        this.file = file;
        this.compactAt = compactAt;
        this.lockChannel = lockChannel;
    }

    /**
     * Opens a log or begins one, readable by its owner alone.
     *
     * @param compactAt bytes from which on the file is written anew with its last state alone
     * @throws IOException also where another process holds it
     */
    public static StateLog open(Path file, long compactAt) throws IOException {
        return open(file, compactAt, new Device() { });
    }

    static StateLog open(Path file, long compactAt, Device device) throws IOException {
        Path lockFile = file.resolveSibling(file.getFileName() + ".lock");
        FileChannel lockChannel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock lock;
            try {
                lock = lockChannel.tryLock();
            } catch (OverlappingFileLockException e) {
                lock = null;
            }
            if (lock == null) {
                throw new IOException(file + ": another agent holds it");
            }
            StateLog log = new StateLog(file, compactAt, lockChannel, device);
            log.read();
            return log;
        } catch (IOException e) {
            lockChannel.close();
            throw e;
        }
    }

    private void read() throws IOException {
        // What a compaction that was broken off had begun.
        Files.deleteIfExists(beside());
        boolean fresh = !Files.exists(file);
        channel = create(file, StandardOpenOption.CREATE);
        if (fresh) {
            syncDirectory();
        }
        long size = channel.size();
        while (size - end >= HEAD) {
            ByteBuffer head = readAt(end, HEAD);
            int length = head.getInt();
            int sum = head.getInt();
            if (length < 0 || length > LONGEST) {
                suspect = true;
                break;
            }
            if (size - end - HEAD < length) {
                break;
            }
            byte[] read = readAt(end + HEAD, length).array();
            if (sum != checksum(length, read)) {
                suspect = true;
                break;
            }
            state = read;
            end += HEAD + length;
        }
        cut = size - end;
        if (suspect && !Files.exists(mark())) {
            // Kept beside before the bytes are cut off: the next open must not take the file for whole.
            create(mark(), StandardOpenOption.CREATE).close();
            syncDirectory();
        }
        suspect = Files.exists(mark());
        if (cut > 0) {
            channel.truncate(end);
            channel.force(true);
        }
    }

    private ByteBuffer readAt(long from, int length) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(length);
        while (bytes.hasRemaining()) {
            if (channel.read(bytes, from + bytes.position()) < 0) {
                throw new IOException(file + ": ends while it is read");
            }
        }
        return bytes.flip();
    }

    /** The last state; null where there is none. */
    public byte[] state() {
        return state == null ? null : state.clone();
    }

    /** Bytes that were cut off at the open. */
    public long cut() {
        return cut;
    }

    /**
     * Whether what was cut off, now or at an open before, may have been acknowledged: whoever goes on from here may have
     * forgotten something. A file beside the log, named {@code .suspect}, says so until someone takes it away.
     */
    public boolean suspect() {
        return suspect;
    }

    /** Bytes in the file. */
    public long size() {
        return end;
    }

    /**
     * Puts the state on the device.
     *
     * @throws IOException where that fails; the state before stays, here and after an open
     */
    public void write(byte[] next) throws IOException {
        if (next.length > LONGEST) {
            throw new IOException(file + ": a state of " + next.length + " bytes, " + LONGEST + " at most");
        }
        if (broken) {
            throw new IOException(file + ": a write or rename before may not hold; open it again");
        }
        ByteBuffer record = record(next);
        try {
            device.append(channel, record, end);
        } catch (IOException e) {
            takeBack(e);
            throw e;
        }
        end += record.limit();
        state = next.clone();
        if (end >= compactAt && end > 2L * record.limit()) {
            compact(record.rewind());
        }
    }

    private void takeBack(IOException cause) {
        try {
            channel.truncate(end);
            channel.force(true);
        } catch (IOException e) {
            broken = true;
            cause.addSuppressed(e);
        }
    }

    /** The file anew, by a rename: at each moment there is one whole file. A failure leaves the long one, which is sound. */
    private void compact(ByteBuffer record) {
        try {
            FileChannel shorter = create(beside(), StandardOpenOption.CREATE_NEW);
            try {
                device.append(shorter, record, 0);
                Files.move(beside(), file, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                shorter.close();
                Files.deleteIfExists(beside());
                return;
            }
            FileChannel longer = channel;
            channel = shorter;
            end = record.limit();
            try {
                syncDirectory();
            } catch (IOException e) {
                // A crash might bring the longer file back, without what is written from here on.
                broken = true;
            }
            longer.close();
        } catch (IOException e) {
            // The file in use is whole, long or short; a long one is tried again at the next write.
        }
    }

    /** What a log asks of the machine, which may refuse it. */
    interface Device {
        /** Writes a record and puts it on the device. */
        default void append(FileChannel to, ByteBuffer record, long at) throws IOException {
            StateLog.append(to, record, at);
        }

        /** Puts the names of a directory's files on the device. */
        default void sync(Path directory) throws IOException {
            try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
                channel.force(true);
            }
        }
    }

    static void append(FileChannel to, ByteBuffer record, long at) throws IOException {
        long position = at;
        while (record.hasRemaining()) {
            position += to.write(record, position);
        }
        to.force(true);
    }

    /** There for as long as the log is suspect. */
    private Path mark() {
        return file.resolveSibling(file.getFileName() + ".suspect");
    }

    private Path beside() {
        return file.resolveSibling(file.getFileName() + ".next");
    }

    private static FileChannel create(Path file, StandardOpenOption how) throws IOException {
        return FileChannel.open(file, java.util.Set.of(how, StandardOpenOption.READ, StandardOpenOption.WRITE),
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    }

    private void syncDirectory() throws IOException {
        device.sync(file.toAbsolutePath().getParent());
    }

    private static ByteBuffer record(byte[] state) {
        return ByteBuffer.allocate(HEAD + state.length).putInt(state.length).putInt(checksum(state.length, state))
            .put(state).flip();
    }

    private static int checksum(int length, byte[] state) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(4).putInt(length).flip());
        sum.update(state);
        return (int) sum.getValue();
    }

    @Override
    public void close() throws IOException {
        try {
            channel.close();
        } finally {
            lockChannel.close();
        }
    }
}
