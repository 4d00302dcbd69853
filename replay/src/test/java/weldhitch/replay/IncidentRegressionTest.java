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

/** Incidents that must not recur, as anonymized capture slices; and tests of slicing itself. */
class IncidentRegressionTest {
    private static final Path INCIDENTS = Path.of("replay/src/test/resources/incidents");

    @TempDir
    Path directory;

    private static CaptureSlice replay(String name) throws IOException {
        return CaptureSlice.replay(INCIDENTS.resolve(name))
                .assertSameDecisions()
                .assertInvariantsHold();
    }

    /** From the simulator: four endpoints of fifteen fail instantly, which looks like low latency. */
    @Test
    void fastFailingEndpointsAreAvoided() throws IOException {
        CaptureSlice slice = replay("grey-boxes.cap");
        CaptureSummary summary = slice.summary();
        List<String> failing = summary.byEndpoint.entrySet().stream()
                .filter(s -> s.getValue().outcomes.getOrDefault("error", 0L) > 3)
                .map(java.util.Map.Entry::getKey)
                .toList();
        assertTrue(failing.size() >= 2, "boxes that answered errors: " + failing);
        for (String endpointId : failing) {
            slice.assertMaxSendFraction(endpointId, 0.07);
        }
        slice.assertMinServedFraction(0.95);
    }

    /**
     * From the simulator: twice the usual load. Rejected requests were never sent to an endpoint, and
     * enrolments are preferred to the rest.
     */
    @Test
    void overloadRejectsLowestPriorityPerCostFirst() throws IOException {
        CaptureSummary summary = replay("overload.cap").summary();
        CaptureSummary.RequestCounts enrolments = summary.byClass.get("book-campaign");
        CaptureSummary.RequestCounts farms = summary.byClass.get("book-farm");
        assertTrue(
                enrolments.rejected * 5 < enrolments.arrived,
                enrolments.rejected + " of " + enrolments.arrived + " refused");
        assertTrue(farms.rejected > 0.9 * farms.arrived, farms.rejected + " of " + farms.arrived + " refused");
        assertFalse(summary.byClass.values().stream().anyMatch(c -> c.causes.containsKey("refused: unknown")));
    }

    /**
     * From loopback sockets: one endpoint fails and resets, one is full and then removed; no booking runs
     * twice.
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
            // The check below would pass of itself if endpoints were printed otherwise.
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
