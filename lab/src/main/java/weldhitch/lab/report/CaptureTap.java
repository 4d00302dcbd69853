package weldhitch.lab.report;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.capture.format.CaptureFiles.Segment;
import weldhitch.capture.format.Entry;
import weldhitch.capture.format.SegmentWriter;
import weldhitch.decision.Balancing.Action;
import weldhitch.decision.Balancing.Event;
import weldhitch.decision.Balancing.Settings;
import weldhitch.decision.Snapshot;
import weldhitch.lab.site.Tap;

/**
 * Writes a capture of one simulated node in the format of a real node, complete and without dropped events.
 * Single-threaded; blocks on the files.
 */
public final class CaptureTap implements Tap, Closeable {
    private static final long SNAPSHOT_EVERY = 60_000_000_000L;
    private static final long SEGMENT = 64L << 20;
    private static final long BEGUN_MS = 1_000_000L;

    private Segment segment;
    private SegmentWriter writer;
    private Settings settings;
    private Supplier<Snapshot> module;
    private int runs;
    private boolean fresh;
    private long snapshotAt;
    private long events;
    private long content;

    /**
     * Begins a capture.
     *
     * @param directory created if missing; must not contain a capture yet
     */
    public CaptureTap(Path directory) throws IOException {
        Files.createDirectories(directory);
        segment = CaptureFiles.first(directory, BEGUN_MS);
        writer = new SegmentWriter(segment.file());
    }

    @Override
    public void starts(Settings said, Supplier<Snapshot> of) {
        settings = said;
        module = of;
        runs++;
        fresh = true;
    }

    @Override
    public void before(long now) {
        if (fresh || now - snapshotAt >= SNAPSHOT_EVERY || writer.wordsRunOut()) {
            fresh = false;
            snapshotAt = now;
            try {
                writer.flush();
                if (writer.written() >= SEGMENT) {
                    content += writer.content();
                    writer.close();
                    segment = segment.next(BEGUN_MS);
                    writer = new SegmentWriter(segment.file());
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            add(new Entry.Known(now, "lab", "run-" + runs, "weldhitch 0.1.0", settings, module.get(), null));
        }
    }

    @Override
    public void told(long now, Event event, List<Action> actions) {
        events++;
        add(new Entry.Told(now, event, actions));
    }

    private void add(Entry entry) {
        if (!writer.add(entry)) {
            throw new IllegalStateException("does not fit into a capture: " + entry);
        }
        if (writer.full()) {
            try {
                writer.flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Events written so far. */
    public long events() {
        return events;
    }

    /** Size of the records in bytes before compression; of all of them only once closed. */
    public long content() {
        return content;
    }

    @Override
    public void close() throws IOException {
        writer.flush();
        content += writer.content();
        writer.close();
    }
}
