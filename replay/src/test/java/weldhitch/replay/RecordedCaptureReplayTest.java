package weldhitch.replay;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Replays captures recorded by version 32a2790, and tests that this build makes the same decisions. */
class RecordedCaptureReplayTest {
    private static final Path RECORDED = Path.of("capture/src/test/resources/weldhitch/recorded");

    @Test
    void replayFromNodeStartMakesRecordedDecisions() throws IOException {
        CaptureSlice.replay(RECORDED.resolve("capture")).assertSameDecisions();
    }

    @Test
    void replayFromLaterSnapshotMakesRecordedDecisions() throws IOException {
        CaptureSlice.replay(RECORDED.resolve("midway.cap")).assertSameDecisions();
    }
}
