package weldhitch.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.capture.format.SegmentWriter;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.Workload;

/**
 * Creates captures of a workload that is generated from a seed, with a snapshot after each fixed number of events.
 */
final class WorkloadCapture {
    private WorkloadCapture() {}

    static List<CaptureEntry> entries(long seed, int events, int snapshotInterval) {
        Workload workload = new Workload(seed, seed % 5 == 1);
        RatioBalancer balancer = new RatioBalancer(workload.settings, seed);
        List<CaptureEntry> entries = new ArrayList<>();
        for (int written = 0; written < events; written += snapshotInterval) {
            entries.add(new CaptureEntry.SnapshotRecord(
                    workload.now(), "n1", "run", "test", workload.settings, balancer.snapshot(), null));
            workload.play(
                    balancer::handle,
                    Math.min(snapshotInterval, events - written),
                    (event, actions) -> entries.add(new CaptureEntry.EventRecord(workload.now(), event, actions)));
        }
        return entries;
    }

    static Path write(Path directory, List<CaptureEntry> entries) throws IOException {
        Path file = CaptureFiles.firstSegment(directory, 1_764_000_000_000L).path();
        try (SegmentWriter writer = new SegmentWriter(file)) {
            for (CaptureEntry entry : entries) {
                if (entry instanceof CaptureEntry.SnapshotRecord || writer.isBlockFull()) {
                    writer.flush();
                }
                if (!writer.add(entry)) {
                    throw new IOException("entry does not fit into the capture: " + entry);
                }
            }
            writer.flush();
        }
        return file;
    }
}
