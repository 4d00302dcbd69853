package weldhitch.capture.format;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.decision.balancing.DecisionDigest;
import weldhitch.decision.event.RoutesChanged;

/**
 * Reads captures, a manifest, a snapshot and routes that version 32a2790 wrote. These files are never recorded
 * again: renaming a type or a component must change neither what is read from them nor the names that are
 * written.
 */
class RecordedCaptureTest {
    private static final Path RECORDED = Path.of("capture/src/test/resources/weldhitch/recorded");
    private static final Path DIRECTORY = RECORDED.resolve("capture");
    private static final int EVENTS_PER_SEGMENT = 4000;
    /** Digest of the recorded decisions of a segment, as computed by the version that recorded them. */
    private static final String SEGMENT_DIGEST = "347b7ad8ff2b28ef";

    private static final int MIDWAY_EVENTS = 2000;
    private static final String MIDWAY_DIGEST = "6497284e80052705";
    private static final ObjectMapper JSON = new ObjectMapper();

    private static List<CaptureEntry> entries(Path path) throws IOException {
        List<CaptureEntry> entries = new ArrayList<>();
        CaptureFiles.read(List.of(path), entries::add);
        return entries;
    }

    private static JsonNode recordedJson(String name) throws IOException {
        return JSON.readTree(RECORDED.resolve(name).toFile());
    }

    /** Converts to JSON and back: numbers compare by value in JSON, whereas CBOR distinguishes float and double. */
    private static JsonNode asJson(byte[] document) throws IOException {
        return JSON.readTree(JSON.writeValueAsBytes(new CBORMapper().readTree(document)));
    }

    private static void assertEvents(int count, String expectedDigest, Path file) throws IOException {
        long digest = 0;
        int events = 0;
        for (CaptureEntry entry : entries(file)) {
            assertTrue(!(entry instanceof CaptureEntry.Corruption), entry.toString());
            if (entry instanceof CaptureEntry.EventRecord eventRecord) {
                digest = DecisionDigest.of(digest, eventRecord.timestamp(), eventRecord.actions());
                events++;
            }
        }
        assertEquals(count, events);
        assertEquals(expectedDigest, Long.toHexString(digest));
    }

    @Test
    void everyEventIsReadWithItsDecisions() throws IOException {
        for (CaptureFiles.SegmentFile segment : CaptureFiles.segmentsIn(DIRECTORY)) {
            assertEvents(EVENTS_PER_SEGMENT, SEGMENT_DIGEST, segment.path());
        }
        assertEvents(MIDWAY_EVENTS, MIDWAY_DIGEST, RECORDED.resolve("midway.cap"));
    }

    @Test
    void aSnapshotIsReadAndWrittenUnderItsRecordedNames() throws IOException {
        CaptureEntry.SnapshotRecord snapshot = (CaptureEntry.SnapshotRecord)
                entries(RECORDED.resolve("midway.cap")).get(0);
        assertEquals(recordedJson("snapshot.json"), asJson(DocumentCodec.encodeSnapshot(snapshot)));
    }

    @Test
    void routesAreReadAndWrittenUnderTheirRecordedNames() throws IOException {
        RoutesChanged first = entries(RECORDED.resolve("midway.cap")).stream()
                .filter(entry -> entry instanceof CaptureEntry.EventRecord eventRecord
                        && eventRecord.event() instanceof RoutesChanged changed
                        && changed.routes() != null)
                .map(entry -> (RoutesChanged) ((CaptureEntry.EventRecord) entry).event())
                .findFirst()
                .orElseThrow();
        assertEquals(recordedJson("routes.json"), asJson(DocumentCodec.routes(first.routes())));
    }

    @Test
    void theManifestNamesTheSegments() throws IOException {
        JsonNode segments = recordedJson("capture/manifest.json").path("segments");
        assertEquals(2, segments.size());
        assertEquals(
                CaptureFiles.segmentsIn(DIRECTORY).stream()
                        .map(s -> s.path().getFileName().toString())
                        .toList(),
                segments.findValuesAsText("file"));
    }
}
