package weldhitch.statelog;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests recovery, compaction, locking and write failures of {@link StateLog}, on real files. */
class StateLogTest {
    private static final long COMPACTION_THRESHOLD = 1 << 20;

    @TempDir
    Path directory;

    private Path file() {
        return directory.resolve("orders.log");
    }

    private StateLog open() throws IOException {
        return StateLog.open(file(), COMPACTION_THRESHOLD);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void write(String... states) throws IOException {
        try (StateLog log = open()) {
            for (String state : states) {
                log.write(bytes(state));
            }
        }
    }

    @Test
    void lastStateIsRecoveredOnOpenAndFileIsReadableByItsOwnerOnly() throws Exception {
        try (StateLog log = open()) {
            assertNull(log.state());
        }
        write("one", "two");
        try (StateLog log = open()) {
            assertArrayEquals(bytes("two"), log.state());
            assertEquals(0, log.truncatedBytes());
            assertFalse(log.suspect());
        }
        assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(file())));
    }

    /** A crash may leave any prefix of the last record on disk. */
    @Test
    void tornLastRecordIsTruncatedWhereverItIsTorn() throws Exception {
        write("one", "two");
        byte[] original = Files.readAllBytes(file());
        int secondRecordOffset = 8 + 3;
        for (int length = secondRecordOffset; length < original.length; length++) {
            Files.write(file(), Arrays.copyOf(original, length));
            try (StateLog log = open()) {
                assertArrayEquals(bytes("one"), log.state(), "truncated to length " + length);
                assertEquals(length - secondRecordOffset, log.truncatedBytes());
                assertFalse(log.suspect(), "an incomplete record was never acknowledged");
                log.write(bytes("three"));
            }
            try (StateLog log = open()) {
                assertArrayEquals(bytes("three"), log.state());
            }
        }
    }

    @Test
    void flippedBitAnywhereInTheLastRecordIsDetectedAndReported() throws Exception {
        write("one", "two");
        byte[] original = Files.readAllBytes(file());
        for (int bit = (8 + 3) * 8; bit < original.length * 8; bit++) {
            byte[] flipped = original.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(file(), flipped);
            try (StateLog log = open()) {
                assertArrayEquals(bytes("one"), log.state(), "flipped bit " + bit);
                assertTrue(log.truncatedBytes() > 0);
                boolean lengthGrew = bit < (8 + 3 + 4) * 8;
                assertTrue(log.suspect() || lengthGrew, "bit " + bit + ": the record may have been acknowledged");
            }
            Files.deleteIfExists(directory.resolve("orders.log.suspect"));
        }
    }

    @Test
    void logIsCompactedToItsLastStateBeyondTheThreshold() throws Exception {
        try (StateLog log = StateLog.open(file(), 1000)) {
            for (int i = 0; i < 500; i++) {
                log.write(bytes("state " + i));
                assertTrue(log.size() < 1100, log.size() + " bytes");
            }
        }
        assertTrue(Files.size(file()) < 1100);
        // An interrupted compaction leaves its file behind, which must be ignored.
        Files.write(directory.resolve("orders.log.next"), bytes("half"));
        try (StateLog log = open()) {
            assertArrayEquals(bytes("state 499"), log.state());
        }
        assertFalse(Files.exists(directory.resolve("orders.log.next")));
    }

    /** Half of the record is written to the file; the rest goes to Linux's {@code /dev/full}. */
    @Test
    void writeOnAFullDiskFailsAndThePreviousStateRemains() throws Exception {
        write("one");
        AtomicBoolean diskFull = new AtomicBoolean(true);
        try (FileChannel fullDevice = FileChannel.open(Path.of("/dev/full"), StandardOpenOption.WRITE);
                StateLog log = StateLog.open(file(), COMPACTION_THRESHOLD, new StateLog.StorageDevice() {
                    @Override
                    public void append(FileChannel target, ByteBuffer record, long offset) throws IOException {
                        if (diskFull.get()) {
                            StateLog.append(target, record.duplicate().limit(record.limit() / 2), offset);
                            StateLog.append(fullDevice, record, offset);
                        }
                        StateLog.append(target, record, offset);
                    }
                })) {
            IOException e = assertThrows(IOException.class, () -> log.write(bytes("two")));
            assertTrue(e.getMessage().contains("No space left"), e.toString());
            assertArrayEquals(bytes("one"), log.state());
            assertEquals(log.size(), Files.size(file()), "the partial record is removed");
            diskFull.set(false);
            log.write(bytes("three"));
        }
        try (StateLog log = open()) {
            assertArrayEquals(bytes("three"), log.state());
            assertThrows(IOException.class, () -> log.write(new byte[StateLog.MAX_STATE_BYTES + 1]));
            assertArrayEquals(bytes("three"), log.state());
        }
    }

    /** The rename is visible to this process, but a crash might still restore the longer file. */
    @Test
    void noWriteIsAcknowledgedAfterARenameThatWasNotSynced() throws Exception {
        AtomicBoolean syncFails = new AtomicBoolean();
        try (StateLog log = StateLog.open(file(), 100, new StateLog.StorageDevice() {
            @Override
            public void syncDirectory(Path syncedDirectory) throws IOException {
                if (syncFails.get()) {
                    throw new IOException("injected sync failure");
                }
                StateLog.StorageDevice.super.syncDirectory(syncedDirectory);
            }
        })) {
            log.write(bytes("one"));
            syncFails.set(true);
            int written = 0;
            while (log.size() >= written) {
                written = (int) log.size();
                log.write(bytes("state " + written));
            }
            String last = new String(log.state());
            assertThrows(IOException.class, () -> log.write(bytes("more")));
            assertEquals(last, new String(log.state()));
        }
        write("again");
    }

    @Test
    void onlyOneProcessAtATimeLocksTheLog() throws Exception {
        try (StateLog log = open()) {
            IOException e = assertThrows(IOException.class, this::open);
            assertTrue(e.getMessage().contains("locked by another process"), e.getMessage());
            log.write(bytes("mine"));
        }
        write("next");
    }

    /** Writes states until the process is killed, and prints each one once it is on the device. */
    static final class StateWriter {
        private StateWriter() {}

        public static void main(String[] args) throws Exception {
            try (StateLog log = StateLog.open(Path.of(args[0]), 2000)) {
                for (int i = log.state() == null ? 0 : Integer.parseInt(new String(log.state()).trim()) + 1; ; i++) {
                    log.write(bytes(i + " ".repeat(i % 200)));
                    System.out.println(i);
                }
            }
        }
    }

    @Test
    void noAcknowledgedStateIsLostWhenTheProcessIsKilled() throws Exception {
        int acknowledged = -1;
        for (int round = 0; round < 5; round++) {
            Process writer = new ProcessBuilder(List.of(
                            ProcessHandle.current().info().command().orElse("java"),
                            "-cp",
                            System.getProperty("java.class.path"),
                            StateWriter.class.getName(),
                            file().toString()))
                    .start();
            List<String> outputLines = new ArrayList<>();
            try (BufferedReader out = writer.inputReader()) {
                for (int lines = 0; lines < 20 + 37 * round; lines++) {
                    outputLines.add(out.readLine());
                }
                writer.toHandle().destroyForcibly();
                out.lines().forEach(outputLines::add);
            }
            assertEquals(137, writer.waitFor(), "expected the exit code of a killed process");
            assertEquals(acknowledged + 1, Integer.parseInt(outputLines.get(0)), "resumes after the last state");
            acknowledged = Integer.parseInt(outputLines.get(outputLines.size() - 1));
            try (StateLog log = open()) {
                int last = Integer.parseInt(new String(log.state()).trim());
                assertTrue(
                        last == acknowledged || last == acknowledged + 1,
                        last + " recovered, last acknowledged state " + acknowledged);
                assertFalse(log.suspect());
                acknowledged = last;
            }
        }
    }
}
