package weldhitch.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;

/**
 * An incident as a regression test: a capture slice, replayed by this build, with assertions on the result. A
 * failed assertion throws an {@link AssertionError} that names what did not hold, so any test framework can use
 * it. Not thread-safe.
 */
public final class CaptureSlice {
    private final Path file;
    private final Replayer replayer;
    private final CaptureVerifier verifier = new CaptureVerifier();
    private final CaptureSummary summary = new CaptureSummary(1_000_000_000L);

    private CaptureSlice(Path file) {
        this.file = file;
        replayer = new Replayer(summary, false, summary);
    }

    /** Reads and replays a slice. */
    public static CaptureSlice replay(Path file) throws IOException {
        CaptureSlice slice = new CaptureSlice(file);
        CaptureFiles.read(List.of(file), slice::accept);
        slice.require(slice.replayer.replayedEvents() > 0, "holds no events");
        return slice;
    }

    private void accept(CaptureEntry entry) {
        replayer.accept(entry);
        verifier.accept(entry);
    }

    /**
     * Asserts that every decision equals the captured one; not for slices whose rules were changed on purpose.
     */
    public CaptureSlice assertSameDecisions() {
        require(
                replayer.divergences().isEmpty(),
                "decides otherwise: "
                        + replayer.divergences().stream().findFirst().orElse(null));
        return this;
    }

    /** Asserts that the captured run violates none of the four invariants. */
    public CaptureSlice assertInvariantsHold() {
        require(
                verifier.checker.violations().isEmpty(),
                "breaks a rule: "
                        + verifier.checker.violations().stream().findFirst().orElse(null));
        return this;
    }

    /** Asserts that an endpoint gets at most this fraction of the attempts, 0 to 1. */
    public CaptureSlice assertMaxSendFraction(String endpointId, double maxFraction) {
        long totalSends =
                summary.byEndpoint.values().stream().mapToLong(s -> s.sends).sum();
        double fraction = summary.byEndpoint.containsKey(endpointId)
                ? (double) summary.byEndpoint.get(endpointId).sends / totalSends
                : 0;
        require(
                fraction <= maxFraction,
                endpointId + " gets " + fraction + " of " + totalSends + " sends, " + maxFraction
                        + " at most expected");
        return this;
    }

    /**
     * Asserts that at least this fraction (0 to 1) of the requests that arrive and end in the slice is served.
     */
    public CaptureSlice assertMinServedFraction(double minFraction) {
        long served = summary.byClass.values().stream()
                .mapToLong(c -> c.onTime + c.late)
                .sum();
        long ended = summary.byClass.values().stream()
                .mapToLong(c -> c.onTime + c.late + c.rejected + c.failed + c.disconnected)
                .sum();
        require(
                ended > 0 && served >= minFraction * ended,
                served + " of " + ended + " served, " + minFraction + " expected");
        return this;
    }

    /** Returns the counts of the replay, for a test's own assertions. */
    public CaptureSummary summary() {
        return summary;
    }

    private void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(file + ": " + message);
        }
    }
}
