package weldhitch.capture.live;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.agrona.concurrent.OneToOneConcurrentArrayQueue;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.capture.format.CaptureFiles.SegmentFile;
import weldhitch.capture.format.CaptureItem;
import weldhitch.capture.format.Manifest;
import weldhitch.capture.format.SegmentWriter;
import weldhitch.capture.policy.CaptureLimits;
import weldhitch.capture.policy.RetentionPolicy;
import weldhitch.capture.policy.RetentionPolicy.SegmentSize;
import weldhitch.capture.policy.WriterPolicy;

/**
 * The writer thread of a capture. It owns the directory's lock and the current segment, and releases both when
 * it ends. The node's event loop shares only the queue and the volatile fields with it.
 */
final class CaptureWriter implements Runnable {
    private static final long IDLE_PARK_NANOS = 20_000_000L;
    private static final String LOCK_FILE_NAME = "weldhitch.lock";

    private final Path directory;
    private final CaptureLimits limits;
    private final SegmentOpener opener;
    private final OneToOneConcurrentArrayQueue<CaptureItem> queue;
    private final Consumer<String> log;
    private final WriterPolicy policy;
    private volatile boolean ready;
    private volatile long snapshotRequests;
    private volatile boolean stopping;
    /** Counted down once the first segment has been opened or opening it has failed. */
    private final CountDownLatch startAttempted = new CountDownLatch(1);

    private FileChannel lockChannel;
    private SegmentWriter segmentWriter;
    private SegmentFile currentSegment;

    /** Opens a segment's file. Called on the writer thread. Tests replace it to cause disk errors. */
    interface SegmentOpener {
        SegmentWriter open(Path file) throws IOException;
    }

    CaptureWriter(
            Path directory,
            CaptureLimits limits,
            OneToOneConcurrentArrayQueue<CaptureItem> queue,
            SegmentOpener opener,
            Consumer<String> log) {
        this.directory = directory;
        this.limits = limits;
        this.opener = opener;
        this.queue = queue;
        this.log = log;
        policy = new WriterPolicy(limits);
    }

    /** Returns whether a segment is open; callable from any thread. */
    boolean isReady() {
        return ready;
    }

    /** Returns the number of snapshots requested so far; callable from any thread. */
    long snapshotRequests() {
        return snapshotRequests;
    }

    /** Waits until the first segment is open, or opening it has failed and been logged. */
    void awaitStart(long millis) throws InterruptedException {
        startAttempted.await(millis, TimeUnit.MILLISECONDS);
    }

    void stop() {
        stopping = true;
    }

    @Override
    public void run() {
        while (true) {
            long now = System.nanoTime();
            boolean stopRequested = stopping;
            try {
                if (policy.shouldOpenSegment(now) && !stopRequested) {
                    startSegment();
                    policy.onSegmentOpened(now);
                    // The event loop may not have noticed that no segment was open for a while.
                    requestSnapshot();
                    ready = true;
                    startAttempted.countDown();
                }
                int drainedItems = drainQueue(now);
                if (policy.shouldFlush(now, segmentWriter != null && segmentWriter.isBlockFull())
                        || stopRequested && policy.hasOpenSegment()) {
                    flush();
                }
                if (policy.hasOpenSegment()
                        && policy.shouldRequestSnapshot(
                                now, segmentWriter.bytesWritten(), segmentWriter.isStringTableNearlyFull())) {
                    requestSnapshot();
                }
                // A snapshot that is never completed ends the loop here; the events queued after it are not written.
                if (stopRequested && (queue.isEmpty() || drainedItems == 0)) {
                    releaseResources();
                    return;
                }
                if (drainedItems == 0) {
                    LockSupport.parkNanos(IDLE_PARK_NANOS);
                }
            } catch (IOException | RuntimeException | Error e) {
                // An Error too: without this thread, events would be dropped for good and nothing would tell so.
                onFailure(now, e);
            }
        }
    }

    private int drainQueue(long now) throws IOException {
        int drainedItems = 0;
        for (CaptureItem item = pollReady(); item != null; item = pollReady()) {
            drainedItems++;
            if (item instanceof SnapshotInProgress inProgress) {
                if (policy.hasOpenSegment()) {
                    writeSnapshot(now, inProgress.toRecord());
                } else {
                    policy.onSnapshotDropped(inProgress.dropped());
                }
            } else if (item instanceof CaptureEntry.EventRecord eventRecord) {
                if (!policy.acceptsEvents()) {
                    policy.onEventDropped(eventRecord.timestamp());
                } else if (segmentWriter.add(eventRecord)) {
                    policy.onEventAdded(now, eventRecord.timestamp());
                } else {
                    policy.onEventDropped(eventRecord.timestamp());
                    requestSnapshot();
                }
            }
            if (segmentWriter != null && segmentWriter.isBlockFull()) {
                flush();
            }
        }
        return drainedItems;
    }

    /** Returns the next queued item, or null if there is none or it is a snapshot still in progress. */
    private CaptureItem pollReady() {
        return queue.peek() instanceof SnapshotInProgress inProgress
                        && !inProgress.snapshot().complete()
                ? null
                : queue.poll();
    }

    private void writeSnapshot(long now, CaptureEntry.SnapshotRecord snapshotRecord) throws IOException {
        flush();
        if (policy.shouldRotate(now, segmentWriter.bytesWritten())) {
            rotate(now);
        }
        segmentWriter.add(snapshotRecord.withDropped(policy.onSnapshotAdded(now, snapshotRecord.dropped())));
    }

    private void requestSnapshot() {
        snapshotRequests = snapshotRequests + 1;
    }

    private void flush() throws IOException {
        if (!Files.exists(currentSegment.path())) {
            throw new IOException(currentSegment.path().getFileName() + " has been deleted");
        }
        segmentWriter.flush();
        policy.onBlockWritten();
    }

    private void startSegment() throws IOException {
        Files.createDirectories(directory);
        acquireLock();
        List<SegmentFile> existing = CaptureFiles.segmentsIn(directory);
        long startedAtMillis = System.currentTimeMillis();
        currentSegment = existing.isEmpty()
                ? CaptureFiles.firstSegment(directory, startedAtMillis)
                : existing.get(existing.size() - 1).successor(startedAtMillis);
        segmentWriter = opener.open(currentSegment.path());
        enforceRetention();
    }

    private void rotate(long now) throws IOException {
        segmentWriter.close();
        segmentWriter = null;
        currentSegment = currentSegment.successor(System.currentTimeMillis());
        segmentWriter = opener.open(currentSegment.path());
        policy.onSegmentOpened(now);
        enforceRetention();
    }

    private void enforceRetention() throws IOException {
        List<SegmentSize<SegmentFile>> segmentSizes = new ArrayList<>();
        for (SegmentFile segment : CaptureFiles.segmentsIn(directory)) {
            segmentSizes.add(new SegmentSize<>(segment, Files.size(segment.path())));
        }
        for (SegmentFile segment :
                RetentionPolicy.segmentsToDelete(segmentSizes, limits.maxTotalBytes(), limits.maxSegmentBytes())) {
            Files.deleteIfExists(segment.path());
        }
        Manifest.write(directory, CaptureFiles.segmentsIn(directory));
    }

    /** Locks the directory: two nodes in one directory would delete each other's segments. */
    private void acquireLock() throws IOException {
        if (lockChannel != null) {
            return;
        }
        FileChannel channel = FileChannel.open(
                directory.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // This process already holds the lock; reported below like a lock of another process.
        }
        if (lock == null) {
            channel.close();
            throw new IOException("another node captures to this directory; give each node its own directory");
        }
        lockChannel = channel;
    }

    private void onFailure(long now, Throwable e) {
        ready = false;
        startAttempted.countDown();
        if (policy.onWriteFailed(now)) {
            log.accept("capture: cannot write to " + directory + ", dropping events until a retry succeeds: " + e);
        }
        try {
            releaseResources();
        } catch (IOException | RuntimeException closeFailure) {
            // A segment that cannot be closed was not fully written; that failure has been logged already.
        }
    }

    private void releaseResources() throws IOException {
        ready = false;
        try {
            if (segmentWriter != null) {
                segmentWriter.close();
            }
        } finally {
            segmentWriter = null;
            if (lockChannel != null) {
                FileChannel channel = lockChannel;
                lockChannel = null;
                channel.close();
            }
        }
    }
}
