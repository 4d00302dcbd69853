package weldhitch.replay;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Replays captures that version 32a2790 recorded: from their snapshots on, this build decides as that one did. */
class RecordedCaptureReplayTest {
    private static final Path RECORDED = Path.of("capture/src/test/resources/weldhitch/recorded");

    @Test
    void fromTheStartOfANodeThisBuildDecidesAsTheOneThatRecorded() throws IOException {
        CaptureSlice.replay(RECORDED.resolve("capture")).assertSameDecisions();
    }

    @Test
    void fromASnapshotMidwayThisBuildDecidesAsTheOneThatRecorded() throws IOException {
        CaptureSlice.replay(RECORDED.resolve("midway.cap")).assertSameDecisions();
    }
}
