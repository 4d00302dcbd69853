package weldhitch.simulator.whatif;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import weldhitch.capture.format.CaptureEntry;

/**
 * A contiguous segment of a capture: events without gaps, and the snapshot before the first event. The list of
 * events grows while the capture is read.
 */
record ContiguousSegment(CaptureEntry.SnapshotRecord startRecord, List<CaptureEntry.EventRecord> events) {

    /** Splits a capture into contiguous segments. Not thread-safe. */
    static final class Collector implements Consumer<CaptureEntry> {
        private final List<ContiguousSegment> segments = new ArrayList<>();
        private boolean interrupted = true;

        @Override
        public void accept(CaptureEntry entry) {
            if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
                ContiguousSegment last = segments.isEmpty() ? null : segments.get(segments.size() - 1);
                if (interrupted
                        || snapshotRecord.dropped() != null
                        || !snapshotRecord.runId().equals(last.startRecord.runId())) {
                    segments.add(new ContiguousSegment(snapshotRecord, new ArrayList<>()));
                }
                interrupted = false;
            } else if (entry instanceof CaptureEntry.EventRecord eventRecord && !interrupted) {
                segments.get(segments.size() - 1).events.add(eventRecord);
            } else if (entry instanceof CaptureEntry.Corruption) {
                interrupted = true;
            }
        }

        List<ContiguousSegment> segments() {
            return segments.stream()
                    .filter(segment -> !segment.events.isEmpty())
                    .toList();
        }
    }
}
