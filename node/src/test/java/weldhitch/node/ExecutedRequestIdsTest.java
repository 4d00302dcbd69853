package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how long and how many ids {@link ExecutedRequestIds} remembers. */
class ExecutedRequestIdsTest {
    private static final long START = 1_000;

    private final ExecutedRequestIds ids = new ExecutedRequestIds();

    @Test
    void idIsRememberedForTheRetentionTimeAndForgottenAfterTwiceOfIt() {
        ids.add("a", START);
        assertTrue(ids.contains("a"));
        assertFalse(ids.contains("b"));
        ids.add("b", START + ExecutedRequestIds.RETENTION_NANOS - 1);
        ids.add("c", START + ExecutedRequestIds.RETENTION_NANOS);
        assertTrue(ids.contains("a"));
        assertTrue(ids.contains("b"));
        ids.add("d", START + 2 * ExecutedRequestIds.RETENTION_NANOS);
        assertFalse(ids.contains("a"));
        assertFalse(ids.contains("b"));
        assertTrue(ids.contains("c"));
        assertTrue(ids.contains("d"));
    }

    @Test
    void idIsRememberedUntilAFullGenerationHasCome() {
        ids.add("first", START);
        for (int i = 0; i < ExecutedRequestIds.MAX_IDS_PER_GENERATION; i++) {
            ids.add("id-" + i, START);
            assertTrue(ids.contains("id-" + i));
        }
        assertTrue(ids.contains("first"));
        for (int i = 0; i < ExecutedRequestIds.MAX_IDS_PER_GENERATION; i++) {
            ids.add("next-" + i, START);
        }
        assertFalse(ids.contains("first"));
        assertTrue(ids.contains("next-0"));
    }

    @Test
    void idsOfOneCharacterAndSimilarIdsAreToldApart() {
        for (char c = '!'; c <= '~'; c += 2) {
            ids.add("0e00392a172b3c8" + c, START);
            ids.add(String.valueOf(c), START);
        }
        for (char c = '"'; c <= '~'; c += 2) {
            assertFalse(ids.contains("0e00392a172b3c8" + c));
            assertFalse(ids.contains(String.valueOf(c)));
        }
    }
}
