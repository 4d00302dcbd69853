package weldhitch.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;

/** Replays anonymized capture slices of incidents that must not recur, and tests slicing itself. */
class IncidentRegressionTest {
    private static final Path INCIDENTS = Path.of("replay/src/test/resources/incidents");

    @TempDir
    Path directory;

    private static CaptureSlice replay(String name) throws IOException {
        return CaptureSlice.replay(INCIDENTS.resolve(name))
                .assertSameDecisions()
                .assertInvariantsHold();
    }

    /** Captured in the simulator. Four of fifteen endpoints fail instantly, which looks like low latency. */
    @Test
    void fastFailingEndpointsAreAvoided() throws IOException {
        CaptureSlice slice = replay("grey-boxes.cap");
        CaptureSummary summary = slice.summary();
        List<String> failing = summary.byEndpoint.entrySet().stream()
                .filter(s -> s.getValue().outcomes.getOrDefault("error", 0L) > 3)
                .map(java.util.Map.Entry::getKey)
                .toList();
        assertTrue(failing.size() >= 2, "endpoints with errors: " + failing);
        for (String endpointId : failing) {
            slice.assertMaxSendFraction(endpointId, 0.07);
        }
        slice.assertMinServedFraction(0.95);
    }

    /**
     * Captured in the simulator at twice the usual load. Rejected requests were never sent to an endpoint, and bookings
     * of the campaign are preferred to other requests.
     */
    @Test
    void overloadRejectsLowestPriorityPerCostFirst() throws IOException {
        CaptureSummary summary = replay("overload.cap").summary();
        CaptureSummary.RequestCounts campaignCounts = summary.byClass.get("book-campaign");
        CaptureSummary.RequestCounts farmCounts = summary.byClass.get("book-farm");
        assertTrue(
                campaignCounts.rejected * 5 < campaignCounts.arrived,
                campaignCounts.rejected + " of " + campaignCounts.arrived + " rejected");
        assertTrue(
                farmCounts.rejected > 0.9 * farmCounts.arrived,
                farmCounts.rejected + " of " + farmCounts.arrived + " rejected");
        assertFalse(summary.byClass.values().stream().anyMatch(c -> c.causes.containsKey("refused: unknown")));
    }

    /**
     * Captured on loopback sockets. One endpoint fails and resets connections, another one is full and then removed. No
     * booking may run twice.
     */
    @Test
    void failingEndpointsCauseNoDuplicateBooking() throws IOException {
        CaptureSummary summary =
                replay("failing-servers.cap").assertMinServedFraction(0.98).summary();
        assertEquals(0, summary.byClass.get("read").failed);
        assertTrue(
                summary.byClass.get("book").causes.keySet().stream().allMatch(c -> c.equals("failed: may have run")));
    }

    @Test
    void sliceAssertionsFailWhenNotMet() throws IOException {
        CaptureSlice slice = replay("failing-servers.cap");
        assertThrows(AssertionError.class, () -> slice.assertMinServedFraction(1));
        assertThrows(AssertionError.class, () -> slice.assertMaxSendFraction("server-4", 0.5));
    }

    @Test
    void anonymizedSliceReplaysLikeItsOriginal() throws IOException {
        for (int seed : new int[] {5, 9, 21}) {
            Path original = WorkloadCapture.write(
                    Files.createDirectory(directory.resolve("seed-" + seed)),
                    WorkloadCapture.entries(seed, 4000, 1000));
            Path sliceFile = directory.resolve("cut-" + seed + ".cap");
            CaptureSlicer slicer = new CaptureSlicer(1500, 800).read(List.of(original));
            slicer.write(sliceFile);
            assertEquals(800, slicer.eventCount());
            CaptureSlice.replay(sliceFile).assertSameDecisions();
            String text = printed(sliceFile);
            // Without this assertion, the checks below would always pass if endpoints were printed in another format.
            assertTrue(printed(original).contains("endpointId=s1,"));
            for (String name : List.of("clinic", "stranger", "endpointId=s1,", "9e3779b97f4a7c15", "/7")) {
                assertFalse(text.contains(name), name);
            }
        }
    }

    private static String printed(Path capture) throws IOException {
        StringBuilder text = new StringBuilder();
        CaptureFiles.read(
                List.of(capture),
                e -> text.append(e instanceof CaptureEntry.EventRecord t ? t.event() + " " + t.actions() : e)
                        .append('\n'));
        return text.toString();
    }

    @Test
    void slicingBeyondLastEventIsRejected() throws IOException {
        Path original = WorkloadCapture.write(directory, WorkloadCapture.entries(5, 500, 500));
        assertTrue(assertThrows(IOException.class, () -> new CaptureSlicer(501, 10).read(List.of(original)))
                .getMessage()
                .contains("no event 501"));
    }
}
