package weldhitch.testkit.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that fault schedules are repeatable, do not overlap, and are unchanged by formatting and parsing. */
class FaultTest {
    private static final List<String> PROCESSES = List.of("n0", "n1", "s1");
    private static final List<String> LINKS = List.of("n0>list", "n1>list", "n0>s", "n1>s");

    @Test
    void sameSeedDrawsSameScheduleAndItsTextIsParsedBack() {
        for (long seed = 0; seed < 200; seed++) {
            List<Fault> schedule = Fault.randomSchedule(seed, PROCESSES, LINKS, 10_000, 12);
            assertEquals(schedule, Fault.randomSchedule(seed, PROCESSES, LINKS, 10_000, 12));
            assertEquals(schedule, Fault.parse(Fault.format(schedule)));
            assertTrue(schedule.size() > 6, "" + schedule.size());
        }
    }

    @Test
    void everyKindIsDrawnWithinTheSpanAndFaultsOfOneTargetDoNotOverlap() {
        java.util.EnumSet<Fault.Kind> kinds = java.util.EnumSet.noneOf(Fault.Kind.class);
        for (long seed = 0; seed < 200; seed++) {
            List<Fault> schedule = Fault.randomSchedule(seed, PROCESSES, LINKS, 10_000, 12);
            for (Fault fault : schedule) {
                kinds.add(fault.kind());
                assertTrue(
                        fault.atMillis() >= 0 && fault.atMillis() + fault.durationMillis() <= 10_000, fault.toString());
                assertTrue(
                        (fault.kind().targetsProcess() ? PROCESSES : LINKS).contains(fault.target()), fault.toString());
                assertTrue(
                        schedule.stream()
                                .noneMatch(other -> other != fault
                                        && other.target().equals(fault.target())
                                        && fault.atMillis() <= other.atMillis() + other.durationMillis()
                                        && other.atMillis() <= fault.atMillis() + fault.durationMillis()),
                        schedule.toString());
            }
        }
        assertEquals(java.util.EnumSet.allOf(Fault.Kind.class), kinds);
    }

    @Test
    void invalidLineIsNamedInTheError() {
        for (String line : List.of("1 KILL n0 5", "1 BURN n0 5 0", "x KILL n0 5 0")) {
            assertTrue(assertThrows(IllegalArgumentException.class, () -> Fault.parse(line))
                    .getMessage()
                    .endsWith(line));
        }
    }
}
