package weldhitch.simulator.report;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.capture.format.CaptureFiles.SegmentFile;
import weldhitch.capture.format.SegmentWriter;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.simulator.cluster.BalancerTap;

/**
 * Writes a capture of one simulated node in the format of a real node's capture, complete and without dropped
 * events. Single-threaded; blocks on file I/O.
 */
public final class CaptureTap implements BalancerTap, Closeable {
    private static final long SNAPSHOT_INTERVAL_NANOS = 60_000_000_000L;
    private static final long MAX_SEGMENT_BYTES = 64L << 20;
    /** Start time in the names of all segments, in milliseconds since the epoch. */
    private static final long CAPTURE_START_MS = 1_000_000L;

    private SegmentFile segment;
    private SegmentWriter writer;
    private BalancerSettings settings;
    private Supplier<BalancerSnapshot> snapshotSource;
    private int startCount;
    private boolean justStarted;
    private long lastSnapshotAt;
    private long eventCount;
    private long contentBytes;

    /**
     * Starts a capture.
     *
     * @param directory created if missing; must not contain a capture yet
     */
    public CaptureTap(Path directory) throws IOException {
        Files.createDirectories(directory);
        segment = CaptureFiles.firstSegment(directory, CAPTURE_START_MS);
        writer = new SegmentWriter(segment.path());
    }

    @Override
    public void onStart(BalancerSettings newSettings, Supplier<BalancerSnapshot> newSnapshotSource) {
        settings = newSettings;
        snapshotSource = newSnapshotSource;
        startCount++;
        justStarted = true;
    }

    @Override
    public void beforeEvent(long now) {
        if (justStarted || now - lastSnapshotAt >= SNAPSHOT_INTERVAL_NANOS || writer.isStringTableNearlyFull()) {
            justStarted = false;
            lastSnapshotAt = now;
            try {
                writer.flush();
                if (writer.bytesWritten() >= MAX_SEGMENT_BYTES) {
                    contentBytes += writer.uncompressedBytes();
                    writer.close();
                    segment = segment.successor(CAPTURE_START_MS);
                    writer = new SegmentWriter(segment.path());
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            append(new CaptureEntry.SnapshotRecord(
                    now, "lab", "run-" + startCount, "weldhitch 0.1.0", settings, snapshotSource.get(), null));
        }
    }

    @Override
    public void onEvent(long now, BalancerEvent event, List<BalancerAction> actions) {
        eventCount++;
        append(new CaptureEntry.EventRecord(now, event, actions));
    }

    private void append(CaptureEntry entry) {
        if (!writer.add(entry)) {
            throw new IllegalStateException("entry cannot be encoded in a capture: " + entry);
        }
        if (writer.isBlockFull()) {
            try {
                writer.flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Returns the number of events written so far. */
    public long eventCount() {
        return eventCount;
    }

    /** Returns the size of the records in bytes before compression; complete only after {@link #close}. */
    public long contentBytes() {
        return contentBytes;
    }

    @Override
    public void close() throws IOException {
        writer.flush();
        contentBytes += writer.uncompressedBytes();
        writer.close();
    }
}
