package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the labels of reasons. Scripts and recorded reports contain them, so they must not change even if the
 * constants are renamed.
 */
class DecisionReasonLabelsTest {
    @Test
    void reasonsKeepTheirRecordedLabels() {
        assertEquals(
                List.of(
                        "admitted",
                        "waits for room",
                        "no room in time",
                        "tenant quota",
                        "no server now",
                        "past deadline",
                        "tried again",
                        "backs off",
                        "second copy",
                        "route does not retry",
                        "attempts used up",
                        "may have run",
                        "memory run out",
                        "no budget",
                        "backoff too long",
                        "asks for zones",
                        "no zone"),
                Stream.of(DecisionListener.DecisionReason.values())
                        .map(DecisionListener.DecisionReason::label)
                        .toList());
    }

    @Test
    void exclusionsKeepTheirRecordedLabels() {
        assertEquals(
                List.of("in", "draining", "not_around", "cold", "tried", "other_group", "other_zone"),
                Arrays.stream(DecisionListener.ExclusionReason.values())
                        .map(DecisionListener.ExclusionReason::label)
                        .toList());
    }
}
