package weldhitch.decision.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the warnings on a stale endpoint list. */
class EndpointListStalenessTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void warningIntervalsGrow() {
        EndpointListStaleness staleness = new EndpointListStaleness(0);
        int warnings = 0;
        for (long second = 0; second < 3600; second++) {
            if (staleness.warning(second * SECOND) != null) {
                warnings++;
            }
        }
        // At 3, 6, 12, ... 384 s, then every five minutes.
        assertEquals(18, warnings);
    }

    @Test
    void warningDistinguishesAnUnconfirmedList() {
        EndpointListStaleness staleness = new EndpointListStaleness(0);
        assertNull(staleness.warning(2 * SECOND));
        assertFalse(staleness.everConfirmed());
        assertTrue(staleness.warning(4 * SECOND).contains("no answer from discovery in the 4 s since the start"));
        staleness.confirm(10 * SECOND);
        assertNull(staleness.warning(12 * SECOND));
        assertTrue(staleness.warning(14 * SECOND).contains("last confirmed 4 s ago"));
        assertEquals(4 * SECOND, staleness.age(14 * SECOND));
    }
}
