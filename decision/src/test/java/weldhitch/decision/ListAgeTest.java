package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the warnings on a stale endpoint list. */
class ListAgeTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void saysTheAgeAtGrowingIntervals() {
        ListAge age = new ListAge(0);
        int words = 0;
        for (long second = 0; second < 3600; second++) {
            if (age.word(second * SECOND) != null) {
                words++;
            }
        }
        // At 3, 6, 12, ... 384 s, then every five minutes.
        assertEquals(18, words);
    }

    @Test
    void tellsAListNeverConfirmedFromOneThatWas() {
        ListAge age = new ListAge(0);
        assertNull(age.word(2 * SECOND));
        assertFalse(age.everSure());
        assertTrue(age.word(4 * SECOND).contains("not heard of discovery in the 4 s since the start"));
        age.sure(10 * SECOND);
        assertNull(age.word(12 * SECOND));
        assertTrue(age.word(14 * SECOND).contains("last confirmed 4 s ago"));
        assertEquals(4 * SECOND, age.age(14 * SECOND));
    }
}
