package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how long connections may be idle before a request that is not idempotent. */
class ReuseTrustTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_764_000_000L * SECOND;
    private final ReuseTrust trust = new ReuseTrust();

    @Test
    void trustsFreshConnectionsAloneWhileNothingIsKnown() {
        assertEquals(ReuseTrust.FRESH, trust.longestIdle(NOW));
    }

    @Test
    void trustsHalfOfTheLongestIdleTimeThatWasAnswered() {
        trust.answered(3 * SECOND, NOW);
        trust.answered(SECOND, NOW + SECOND);
        assertEquals(3 * SECOND / 2, trust.longestIdle(NOW + SECOND));
        trust.answered(ReuseTrust.FRESH / 10, NOW + SECOND);
        assertEquals(3 * SECOND / 2, trust.longestIdle(NOW + 2 * SECOND));
    }

    @Test
    void forgetsWhatNothingHasShownForTenSeconds() {
        trust.answered(4 * SECOND, NOW);
        assertEquals(2 * SECOND, trust.longestIdle(NOW + 10 * SECOND));
        assertEquals(ReuseTrust.FRESH, trust.longestIdle(NOW + 10 * SECOND + 1));
        trust.answered(SECOND, NOW + 11 * SECOND);
        assertEquals(SECOND / 2, trust.longestIdle(NOW + 11 * SECOND));
    }

    @Test
    void trustsNoneAfterABreakAndFreshOnesAgainTenSecondsLater() {
        trust.answered(4 * SECOND, NOW);
        trust.broke(NOW + SECOND);
        assertEquals(0, trust.longestIdle(NOW + SECOND));
        assertEquals(0, trust.longestIdle(NOW + 11 * SECOND - 1));
        assertEquals(ReuseTrust.FRESH, trust.longestIdle(NOW + 11 * SECOND));
        trust.broke(NOW + 5 * SECOND);
        assertTrue(trust.longestIdle(NOW + 14 * SECOND) == 0, "a second break counts from its own time");
    }

    @Test
    void isAsWaryOfAnswersThatComeBesideABreak() {
        trust.broke(NOW);
        trust.answered(4 * SECOND, NOW + SECOND);
        assertEquals(0, trust.longestIdle(NOW + 2 * SECOND));
    }
}
