package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how long and how many ids {@link ExecutedRequestIds} remembers. */
class ExecutedRequestIdsTest {
    private static final long START = 1_000;

    private final ExecutedRequestIds ids = new ExecutedRequestIds();

    @Test
    void idIsRememberedForTheRetentionTime() {
        ids.add("a", START);
        long end = START + ExecutedRequestIds.RETENTION_NANOS;
        assertTrue(ids.contains("a", end));
        assertFalse(ids.contains("a", end + 1));
        assertFalse(ids.contains("b", START));
        ids.add("b", end + 1);
        assertFalse(ids.contains("a", START), "expired ids are removed");
    }

    @Test
    void addingAnIdAgainExtendsItsTime() {
        ids.add("a", START);
        ids.add("b", START + 1);
        ids.add("a", START + 10);
        assertTrue(ids.contains("a", START + 10 + ExecutedRequestIds.RETENTION_NANOS));
    }

    @Test
    void oldestIdsAreForgottenAboveTheMaximumNumber() {
        for (int i = 0; i <= ExecutedRequestIds.MAX_IDS; i++) {
            ids.add("id-" + i, START + i);
        }
        long now = START + ExecutedRequestIds.MAX_IDS;
        assertFalse(ids.contains("id-0", now));
        assertTrue(ids.contains("id-1", now));
        assertTrue(ids.contains("id-" + ExecutedRequestIds.MAX_IDS, now));
    }
}
