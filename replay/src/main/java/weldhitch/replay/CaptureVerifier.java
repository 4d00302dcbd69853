package weldhitch.replay;

import java.util.function.Consumer;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.replay.policy.InvariantChecker;

/**
 * Checks the captured events and actions with an {@link InvariantChecker}, without replaying them. After a gap,
 * corruption or the start of another run, checking restarts at the next snapshot. Not thread-safe.
 */
public final class CaptureVerifier implements Consumer<CaptureEntry> {
    /** The checker, which collects the violations. */
    public final InvariantChecker checker = new InvariantChecker();

    private String runId;
    private boolean checking;
    private long corruptions;

    @Override
    public void accept(CaptureEntry entry) {
        if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
            if (!checking
                    || snapshotRecord.dropped() != null
                    || !snapshotRecord.runId().equals(runId)) {
                checker.start(snapshotRecord.timestamp(), snapshotRecord.settings(), snapshotRecord.snapshot());
                runId = snapshotRecord.runId();
                checking = true;
            }
        } else if (entry instanceof CaptureEntry.EventRecord eventRecord && checking) {
            checker.onEvent(eventRecord.timestamp(), eventRecord.event(), eventRecord.actions());
        } else if (entry instanceof CaptureEntry.Corruption) {
            corruptions++;
            checking = false;
        }
    }

    /** Returns the number of parts of the capture that could not be read. */
    public long corruptions() {
        return corruptions;
    }
}
