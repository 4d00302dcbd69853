package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests graceful shutdown: with a deadline of 3 s and an objective of 1.2 s the last answer is sent at 3.5 s.
 */
class DrainPlanTest {
    private static final long MILLI = 1_000_000L;
    private static final long TOLD = 77_000 * MILLI;
    private final DrainPlan plan = new DrainPlan(3000 * MILLI, 1200 * MILLI);

    private static long at(long millis) {
        return TOLD + millis * MILLI;
    }

    @Test
    void beforeItIsToldNothingChanges() {
        assertFalse(plan.begun());
        assertFalse(plan.saysClose(at(60_000)));
        assertEquals(9, plan.timeFor(at(60_000), 9, 100));
        assertEquals(5, plan.keepsIdle(at(60_000), 5));
        assertTrue(plan.listens(at(60_000), 0, 0));
    }

    @Test
    void keepsCallersWhileTheirRequestsCanStillBeAnsweredWithinTheirAim() {
        plan.begin(TOLD);
        assertFalse(plan.saysClose(at(1899)));
        assertEquals(8, plan.keepsIdle(at(1899), 8));
        assertTrue(plan.listens(at(1899), 0, 1));
        assertTrue(plan.saysClose(at(1900)));
    }

    @Test
    void cutsADeadlineToTheEndAndRefusesWhatMissesItsAim() {
        plan.begin(TOLD);
        assertEquals(3000 * MILLI, plan.timeFor(at(500), 3000 * MILLI, 1200 * MILLI));
        assertEquals(2000 * MILLI, plan.timeFor(at(1500), 3000 * MILLI, 1200 * MILLI));
        assertEquals(1200 * MILLI, plan.timeFor(at(2300), 3000 * MILLI, 1200 * MILLI));
        assertEquals(0, plan.timeFor(at(2301), 3000 * MILLI, 1200 * MILLI));
        assertEquals(500 * MILLI, plan.timeFor(at(3000), 500 * MILLI, 1200 * MILLI), "a short patience is kept whole");
        assertEquals(0, plan.timeFor(at(600), 3000 * MILLI, 0), "without an aim all of the patience is wanted");
    }

    @Test
    void tellsCallersToGoAFewAtATime() {
        plan.begin(TOLD);
        int before = 40;
        for (long t = 1900; t <= 2300; t += 20) {
            int kept = plan.keepsIdle(at(t), 40);
            assertTrue(kept <= before && before - kept <= 3, "at " + t + " ms from " + before + " to " + kept);
            before = kept;
        }
        assertEquals(0, before);
    }

    @Test
    void listensOnForThoseWhoHearLateAndNoLongerWhereNobodyIsLeft() {
        plan.begin(TOLD);
        assertTrue(plan.listens(at(499), 0, 0));
        assertFalse(plan.listens(at(500), 0, 0));
        assertTrue(plan.listens(at(700), at(600), 0), "one came a moment ago");
        assertFalse(plan.listens(at(1500), at(1490), 0));
        assertFalse(plan.listens(at(1900), 0, 3));
    }

    @Test
    void isOverOnceEveryDeadlineHasPassedAndBeforeThePlatformKills() {
        assertFalse(plan.over(at(60_000)));
        plan.begin(TOLD);
        assertFalse(plan.over(at(3500)));
        assertTrue(plan.over(at(3550)));
    }

    /** Deadlines of 14 s do not delay the platform's kill, which waits for 3 s of them plus 0.7 s. */
    @Test
    void isOverBeforeTheKillHoweverLongDeadlinesAre() {
        DrainPlan slow = new DrainPlan(13_967 * MILLI, 5587 * MILLI);
        slow.begin(TOLD);
        assertTrue(slow.over(at(3550)));
        for (long t = 0; t <= 3700; t += 10) {
            long time = slow.timeFor(at(t), 6981 * MILLI, 2793 * MILLI);
            assertTrue(time == 0 || t + time / MILLI <= 3500, time / MILLI + " ms given at " + t + " ms");
        }
        assertEquals(3500 * MILLI, slow.timeFor(at(0), 13_967 * MILLI, 5587 * MILLI), "an aim past the kill");
        assertEquals(1500 * MILLI, slow.timeFor(at(2000), 6981 * MILLI, 2793 * MILLI));
        assertEquals(0, slow.timeFor(at(2001), 6981 * MILLI, 2793 * MILLI));
        assertTrue(slow.listens(at(1599), at(1590), 9));
        assertFalse(slow.saysClose(at(1599)));
        assertTrue(slow.saysClose(at(1600)));
        assertEquals(0, slow.keepsIdle(at(2000), 9), "all are told to go half a wait before the end");
    }

    @Test
    void aSecondWordToEndChangesNothing() {
        plan.begin(TOLD);
        plan.begin(at(1000));
        assertTrue(plan.saysClose(at(1900)));
    }
}
