package weldhitch.fleet.activation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how the estimate of an activation time is refined, and the effects of an imprecise estimate. */
class SwitchScheduleTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SWITCH_AT = 4000 * NANOS_PER_MILLI;
    private final SwitchSchedule schedule = new SwitchSchedule();

    @Test
    void unknownTimeIsUncertainFromTheEndOfTheUndecidedPeriod() {
        assertFalse(schedule.isKnown());
        assertFalse(schedule.isTooImprecise());
        assertEquals(Long.MAX_VALUE, schedule.activatesAt());
        assertEquals(3000, schedule.uncertainFrom(3000));
    }

    @Test
    void preciseTimeIsNeverUncertain() {
        assertTrue(schedule.refine(SWITCH_AT, SwitchSchedule.MAX_CLOCK_ERROR, 0));
        assertFalse(schedule.isTooImprecise());
        assertEquals(SWITCH_AT, schedule.activatesAt());
        assertEquals(Long.MAX_VALUE, schedule.uncertainFrom(0));
    }

    @Test
    void impreciseTimeIsUncertainAroundTheSwitch() {
        long errorBound = SwitchSchedule.MAX_CLOCK_ERROR + 1;
        assertTrue(schedule.refine(SWITCH_AT, errorBound, 0));
        assertTrue(schedule.isTooImprecise());
        assertEquals(SWITCH_AT + errorBound, schedule.activatesAt());
        assertEquals(SWITCH_AT - errorBound, schedule.uncertainFrom(0));
    }

    @Test
    void onlyAMorePreciseEstimateBeforeTheActivationIsAccepted() {
        assertTrue(schedule.refine(SWITCH_AT, 10, 0));
        assertFalse(schedule.refine(SWITCH_AT + 5, 10, 0), "not more precise");
        assertTrue(schedule.refine(SWITCH_AT + 5, 9, SWITCH_AT - 1));
        assertFalse(schedule.refine(SWITCH_AT + 100, 1, SWITCH_AT + 5), "the activation time has passed");
        assertEquals(SWITCH_AT + 5, schedule.switchAt());
        assertEquals(9, schedule.errorBound());
    }
}
