package weldhitch.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.capture.format.SegmentWriter;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.endpoint.RingPosition;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * Extracts a capture slice, which contains a number of consecutive events and a snapshot of the state before the first
 * one. Requests, endpoints, tenants and paths are renamed consistently. The decisions stay the same, so a slice replays
 * like its original. Not thread-safe.
 */
public final class CaptureSlicer {
    private final long firstEvent;
    private final long maxEvents;
    private final List<CaptureEntry> entries = new ArrayList<>();

    /**
     * Creates a slicer for a range of events.
     *
     * @param firstEvent the number of the first event, counted from 1
     * @param maxEvents the maximum number of events
     */
    public CaptureSlicer(long firstEvent, long maxEvents) {
        this.firstEvent = firstEvent;
        this.maxEvents = maxEvents;
    }

    /** Returns the number of events in the slice. */
    public long eventCount() {
        return entries.stream()
                .filter(CaptureEntry.EventRecord.class::isInstance)
                .count();
    }

    /**
     * Reads a capture and collects the requested events.
     *
     * @throws IOException if the capture cannot be read or has no such event after a snapshot, or if this build's
     *     decisions diverge from it before the slice
     */
    public CaptureSlicer read(Collection<Path> paths) throws IOException {
        Replayer replayer = new Replayer(null, false).endingAt(firstEvent - 1, Long.MAX_VALUE);
        CaptureEntry.SnapshotRecord[] latestSnapshot = {null};
        long[] eventNumber = {0};
        Consumer<CaptureEntry> collector = entry -> {
            if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
                latestSnapshot[0] = snapshotRecord;
            } else if (entry instanceof CaptureEntry.EventRecord eventRecord) {
                eventNumber[0]++;
                if (eventNumber[0] >= firstEvent && eventNumber[0] < firstEvent + maxEvents) {
                    entries.add(eventRecord);
                }
            } else if (entry instanceof CaptureEntry.Corruption
                    && !entries.isEmpty()
                    && eventNumber[0] < firstEvent + maxEvents) {
                throw new IllegalStateException("the capture is damaged within the requested events: " + entry);
            }
        };
        CaptureEntry.SnapshotRecord[] sliceStart = {null};
        CaptureFiles.read(paths, entry -> {
            if (entry instanceof CaptureEntry.EventRecord
                    && eventNumber[0] == firstEvent - 1
                    && sliceStart[0] == null
                    && latestSnapshot[0] != null) {
                BalancerSnapshot snapshot = firstEvent == 1 || replayer.snapshot() == null
                        ? latestSnapshot[0].snapshot()
                        : replayer.snapshot();
                sliceStart[0] = new CaptureEntry.SnapshotRecord(
                        ((CaptureEntry.EventRecord) entry).timestamp(),
                        "node",
                        "excerpt",
                        latestSnapshot[0].build(),
                        latestSnapshot[0].settings(),
                        snapshot,
                        null);
            }
            replayer.accept(entry);
            collector.accept(entry);
        });
        if (sliceStart[0] == null || entries.isEmpty()) {
            throw new IOException("no event " + firstEvent + " after a snapshot in this capture");
        }
        if (!replayer.divergences().isEmpty()) {
            throw new IOException("this build's decisions diverge from the capture before event " + firstEvent
                    + ": extract the slice with the build that wrote the capture");
        }
        entries.add(0, sliceStart[0]);
        return this;
    }

    /** Anonymizes the collected entries and writes them to a file, which must not exist. */
    public void write(Path file) throws IOException {
        CaptureAnonymizer anonymizer = new CaptureAnonymizer(entries);
        List<CaptureEntry> anonymized =
                entries.stream().map(anonymizer::anonymize).toList();
        // A slice that replays differently with its new names would not represent the original.
        Replayer replayer = new Replayer(null, false);
        anonymized.forEach(replayer);
        if (!replayer.divergences().isEmpty()) {
            throw new IOException("decisions change when names are replaced: "
                    + replayer.divergences().get(0).description());
        }
        try (SegmentWriter writer = new SegmentWriter(file)) {
            for (CaptureEntry entry : anonymized) {
                if (!writer.add(entry)) {
                    throw new IOException("entry does not fit into the capture: " + entry);
                }
                if (writer.isBlockFull()) {
                    writer.flush();
                }
            }
            writer.flush();
        }
    }

    /**
     * Returns new names for endpoints, by old name. {@link RatioBalancer} orders endpoints by their ring positions, so
     * the ring positions of the new names have the same order as those of the old names.
     */
    static Map<String, String> orderPreservingNames(Set<String> names) {
        List<String> sorted = new ArrayList<>(names);
        sorted.sort(java.util.Comparator.comparingInt(RingPosition::of).thenComparing(n -> n));
        Map<String, String> newNames = new LinkedHashMap<>();
        int candidateNumber = 0;
        long rangeSize = (1L << 31) / (sorted.size() + 1);
        for (int i = 0; i < sorted.size(); i++) {
            String candidate;
            do {
                candidate = "server-" + Integer.toString(candidateNumber++, 36);
            } while (RingPosition.of(candidate) < i * rangeSize || RingPosition.of(candidate) >= (i + 1) * rangeSize);
            newNames.put(sorted.get(i), candidate);
        }
        return newNames;
    }
}
