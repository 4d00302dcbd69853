package weldhitch.statelog;

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
 * An append-only file of states in which each record is a complete state, so that only the last valid record counts. A
 * record consists of its length (4 bytes), the CRC32C of length and state (4 bytes) and the state, big-endian. {@link
 * #write} returns once the state is on the device. A failed write leaves the file unchanged, and the previous state
 * remains the current one.
 *
 * <p>A record that is shorter than its length field states was never acknowledged and is truncated at the next open. A
 * record of full length with a wrong checksum may have been acknowledged, so the log is marked {@link #suspect}. Only
 * one process at a time can open a log, which it locks.
 *
 * <p>Not thread-safe.
 */
public final class StateLog implements Closeable {
    /** The maximum size of a state, in bytes. */
    public static final int MAX_STATE_BYTES = 16 << 20;

    private static final int HEADER_BYTES = 8;

    private final Path file;
    private final long compactionThreshold;
    private final FileChannel lockChannel;
    private final StorageDevice device;
    private FileChannel channel;
    private byte[] state;
    private long endOffset;
    private long truncatedBytes;
    private boolean suspect;
    private boolean failed;

    private StateLog(Path file, long compactionThreshold, FileChannel lockChannel, StorageDevice device) {
        this.device = device;
        this.file = file;
        this.compactionThreshold = compactionThreshold;
        this.lockChannel = lockChannel;
    }

    /**
     * Opens a log or creates one, readable by its owner only.
     *
     * @param compactionThreshold file size in bytes from which on the file is rewritten with its last state only
     * @throws IOException if the log cannot be read or created, or another process has locked it
     */
    public static StateLog open(Path file, long compactionThreshold) throws IOException {
        return open(file, compactionThreshold, new StorageDevice() {});
    }

    static StateLog open(Path file, long compactionThreshold, StorageDevice device) throws IOException {
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
                throw new IOException(file + ": locked by another process");
            }
            StateLog log = new StateLog(file, compactionThreshold, lockChannel, device);
            log.recover();
            return log;
        } catch (IOException e) {
            lockChannel.close();
            throw e;
        }
    }

    private void recover() throws IOException {
        // A compaction that was interrupted may have left this file behind.
        Files.deleteIfExists(compactionFile());
        boolean created = !Files.exists(file);
        channel = openOwnerOnly(file, StandardOpenOption.CREATE);
        if (created) {
            syncDirectory();
        }
        long size = channel.size();
        while (size - endOffset >= HEADER_BYTES) {
            ByteBuffer header = readAt(endOffset, HEADER_BYTES);
            int length = header.getInt();
            int storedChecksum = header.getInt();
            if (length < 0 || length > MAX_STATE_BYTES) {
                suspect = true;
                break;
            }
            if (size - endOffset - HEADER_BYTES < length) {
                break;
            }
            byte[] payload = readAt(endOffset + HEADER_BYTES, length).array();
            if (storedChecksum != checksum(length, payload)) {
                suspect = true;
                break;
            }
            state = payload;
            endOffset += HEADER_BYTES + length;
        }
        truncatedBytes = size - endOffset;
        if (suspect && !Files.exists(suspectMarker())) {
            // Created before the bytes are truncated; after a crash in between, the next open would otherwise treat the
            // log as intact.
            openOwnerOnly(suspectMarker(), StandardOpenOption.CREATE).close();
            syncDirectory();
        }
        suspect = Files.exists(suspectMarker());
        if (truncatedBytes > 0) {
            channel.truncate(endOffset);
            channel.force(true);
        }
    }

    private ByteBuffer readAt(long offset, int length) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(length);
        while (bytes.hasRemaining()) {
            if (channel.read(bytes, offset + bytes.position()) < 0) {
                throw new IOException(file + ": unexpected end of file");
            }
        }
        return bytes.flip();
    }

    /** Returns the last state; null if there is none. */
    public byte[] state() {
        return state == null ? null : state.clone();
    }

    /** Returns how many bytes were truncated when the log was opened. */
    public long truncatedBytes() {
        return truncatedBytes;
    }

    /**
     * Returns whether bytes that were truncated, now or at an earlier open, may have been acknowledged. A process that
     * continues from here may then have lost a state. A file next to the log, with the suffix {@code .suspect}, records
     * this until an administrator deletes it.
     */
    public boolean suspect() {
        return suspect;
    }

    /** Returns the size of the file in bytes. */
    public long size() {
        return endOffset;
    }

    /**
     * Appends the state and syncs it to the device.
     *
     * @throws IOException if that fails; the previous state remains the current one, also after a reopen
     */
    public void write(byte[] newState) throws IOException {
        if (newState.length > MAX_STATE_BYTES) {
            throw new IOException(
                    file + ": state of " + newState.length + " bytes, expected " + MAX_STATE_BYTES + " at most");
        }
        if (failed) {
            throw new IOException(file + ": an earlier write or rename failed with unknown effect; reopen the log");
        }
        ByteBuffer record = encodeRecord(newState);
        try {
            device.append(channel, record, endOffset);
        } catch (IOException e) {
            rollBackAppend(e);
            throw e;
        }
        endOffset += record.limit();
        state = newState.clone();
        if (endOffset >= compactionThreshold && endOffset > 2L * record.limit()) {
            compact(record.rewind());
        }
    }

    private void rollBackAppend(IOException cause) {
        try {
            channel.truncate(endOffset);
            channel.force(true);
        } catch (IOException e) {
            failed = true;
            cause.addSuppressed(e);
        }
    }

    /**
     * Rewrites the file and replaces it by a rename, so that a complete file exists at any moment. After a failure the
     * longer file, which is valid, stays in use.
     */
    private void compact(ByteBuffer record) {
        try {
            FileChannel compacted = openOwnerOnly(compactionFile(), StandardOpenOption.CREATE_NEW);
            try {
                device.append(compacted, record, 0);
                Files.move(compactionFile(), file, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                compacted.close();
                Files.deleteIfExists(compactionFile());
                return;
            }
            FileChannel previous = channel;
            channel = compacted;
            endOffset = record.limit();
            try {
                syncDirectory();
            } catch (IOException e) {
                // A crash might restore the longer file, without the records written from here on.
                failed = true;
            }
            previous.close();
        } catch (IOException e) {
            // The file in use is complete, whether compacted or not. A compaction that failed is retried at the next
            // write.
        }
    }

    /** The operations of a storage device that may fail; tests replace it to inject faults. */
    public interface StorageDevice {
        /** Writes a record and syncs it to the device. */
        default void append(FileChannel target, ByteBuffer record, long offset) throws IOException {
            StateLog.append(target, record, offset);
        }

        /** Syncs a directory's entries to the device. */
        default void syncDirectory(Path directory) throws IOException {
            try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
                channel.force(true);
            }
        }
    }

    /** Writes the complete record at {@code offset}, in as many writes as necessary, and syncs it to the device. */
    public static void append(FileChannel target, ByteBuffer record, long offset) throws IOException {
        long position = offset;
        while (record.hasRemaining()) {
            position += target.write(record, position);
        }
        target.force(true);
    }

    /** Returns the path of the file that exists for as long as the log is suspect. */
    private Path suspectMarker() {
        return file.resolveSibling(file.getFileName() + ".suspect");
    }

    private Path compactionFile() {
        return file.resolveSibling(file.getFileName() + ".next");
    }

    private static FileChannel openOwnerOnly(Path file, StandardOpenOption mode) throws IOException {
        return FileChannel.open(
                file,
                java.util.Set.of(mode, StandardOpenOption.READ, StandardOpenOption.WRITE),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    }

    private void syncDirectory() throws IOException {
        device.syncDirectory(file.toAbsolutePath().getParent());
    }

    private static ByteBuffer encodeRecord(byte[] state) {
        return ByteBuffer.allocate(HEADER_BYTES + state.length)
                .putInt(state.length)
                .putInt(checksum(state.length, state))
                .put(state)
                .flip();
    }

    private static int checksum(int length, byte[] state) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(4).putInt(length).flip());
        crc.update(state);
        return (int) crc.getValue();
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
