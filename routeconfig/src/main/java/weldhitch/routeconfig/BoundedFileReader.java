package weldhitch.routeconfig;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reads files of limited size within a limited time, so that no file keeps its reader for ever: neither a device
 * without an end, nor a pipe without a writer, nor a disk that does not respond. Thread-safe.
 */
public final class BoundedFileReader {
    /** The longest time that a file may take at the start of a process, which cannot go on without it. */
    public static final Duration MAX_DURATION_AT_START = Duration.ofSeconds(20);

    /** The longest time that a file may take while the process runs; later signals wait as long. */
    public static final Duration MAX_DURATION_OF_RELOAD = Duration.ofSeconds(2);

    /** Reads that run or were abandoned; each occupies a thread. With more of them, no further read is begun. */
    private static final int MAX_RUNNING_READS = 64;

    private static final int READER_STACK_BYTES = 256 << 10;
    private static final AtomicInteger RUNNING_READS = new AtomicInteger();

    private BoundedFileReader() {}

    /**
     * Returns the bytes of a file. Blocks until the file is read, at most for {@code maxDuration}.
     *
     * @throws IOException if the file cannot be read, is larger than {@code maxBytes} or takes too long
     */
    public static byte[] read(Path file, int maxBytes, Duration maxDuration) throws IOException {
        return within(maxDuration, () -> readAtMost(file, maxBytes));
    }

    /**
     * Runs an access to files on a thread of its own and returns its result. Blocks until the access has ended, at
     * most for {@code maxDuration}; after that it is abandoned.
     *
     * @throws IOException if the access fails or takes too long
     */
    static <T> T within(Duration maxDuration, Callable<T> access) throws IOException {
        if (RUNNING_READS.get() >= MAX_RUNNING_READS) {
            throw new IOException(MAX_RUNNING_READS + " earlier reads of files have not ended");
        }
        FutureTask<T> task = new FutureTask<>(access);
        Thread reader = new Thread(null, () -> runCounted(task), "file-reader", READER_STACK_BYTES);
        reader.setDaemon(true);
        reader.start();
        return await(task, maxDuration);
    }

    private static void runCounted(Runnable task) {
        RUNNING_READS.incrementAndGet();
        try {
            task.run();
        } finally {
            RUNNING_READS.decrementAndGet();
        }
    }

    private static <T> T await(FutureTask<T> task, Duration maxDuration) throws IOException {
        try {
            return task.get(maxDuration.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            throw new IOException("was not read within " + maxDuration.toMillis() + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("was not read, as the waiting thread was interrupted", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException cause) {
                throw cause;
            }
            throw new IOException(String.valueOf(e.getCause()), e);
        }
    }

    /** Returns the bytes of a file; blocks for as long as the file takes. */
    static byte[] readAtMost(Path file, int maxBytes) throws IOException {
        try (InputStream input = Files.newInputStream(file)) {
            byte[] bytes = input.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new IOException("has more than " + maxBytes + " bytes, the limit");
            }
            return bytes;
        }
    }
}
