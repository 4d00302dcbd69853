package weldhitch.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;

/**
 * A capture slice of an incident, replayed by this build as a regression test, with assertions on the result. A failed
 * assertion throws an {@link AssertionError} that describes the failure, so the class works with any test framework.
 * Not thread-safe.
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
        slice.require(slice.replayer.replayedEvents() > 0, "contains no events");
        return slice;
    }

    private void accept(CaptureEntry entry) {
        replayer.accept(entry);
        verifier.accept(entry);
    }

    /**
     * Asserts that every decision equals the captured one. Use it only if the rules were not changed on purpose since
     * the capture; otherwise this build is meant to decide differently.
     */
    public CaptureSlice assertSameDecisions() {
        require(
                replayer.divergences().isEmpty(),
                "decisions diverge from the capture: "
                        + replayer.divergences().stream().findFirst().orElse(null));
        return this;
    }

    /** Asserts that the captured run violates no invariant of {@link weldhitch.replay.policy.InvariantChecker}. */
    public CaptureSlice assertInvariantsHold() {
        require(
                verifier.checker.violations().isEmpty(),
                "an invariant is violated: "
                        + verifier.checker.violations().stream().findFirst().orElse(null));
        return this;
    }

    /** Asserts that an endpoint receives at most this fraction (0 to 1) of all attempts. */
    public CaptureSlice assertMaxSendFraction(String endpointId, double maxFraction) {
        long totalSends =
                summary.byEndpoint.values().stream().mapToLong(s -> s.sends).sum();
        double fraction = summary.byEndpoint.containsKey(endpointId)
                ? (double) summary.byEndpoint.get(endpointId).sends / totalSends
                : 0;
        require(
                fraction <= maxFraction,
                endpointId + " receives the fraction " + fraction + " of " + totalSends + " attempts, at most "
                        + maxFraction + " was expected");
        return this;
    }

    /**
     * Asserts that at least this fraction (0 to 1) of the requests that arrive and end within the slice is served.
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
                served + " of " + ended + " requests are served, at least the fraction " + minFraction
                        + " was expected");
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
