package weldhitch.decision.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import weldhitch.decision.connection.DispatchGuard.Verdict;

/** Tests all combinations of the conditions under which an attempt may be dispatched. */
class DispatchGuardTest {
    /** An attempt is allowed only if all conditions hold, up to the last nanosecond before a time limit. */
    @Test
    void attemptIsAllowedOnlyIfAllConditionsHold() {
        int allowed = 0;
        for (int bits = 0; bits < 64; bits++) {
            boolean awaited = (bits & 1) == 0;
            long deadline = (bits & 2) == 0 ? 101 : 100;
            long deduplicatedUntil = (bits & 4) == 0 ? 101 : 100;
            boolean listed = (bits & 8) == 0;
            boolean sameIncarnation = (bits & 16) == 0;
            boolean draining = (bits & 32) != 0;
            Verdict verdict = DispatchGuard.check(
                    awaited,
                    100,
                    deadline,
                    deduplicatedUntil,
                    7,
                    !listed ? DispatchGuard.NOT_LISTED : sameIncarnation ? 7 : 8,
                    draining);
            Verdict expected = !awaited
                    ? Verdict.ABANDONED
                    : deadline == 100
                            ? Verdict.DEADLINE_EXCEEDED
                            : deduplicatedUntil == 100
                                    ? Verdict.DEDUPLICATION_WINDOW_EXPIRED
                                    : !listed
                                            ? Verdict.ENDPOINT_REMOVED
                                            : !sameIncarnation
                                                    ? Verdict.ENDPOINT_REPLACED
                                                    : draining ? Verdict.ENDPOINT_DRAINING : Verdict.ALLOWED;
            assertEquals(expected, verdict, "case " + bits);
            allowed += verdict == Verdict.ALLOWED ? 1 : 0;
        }
        assertEquals(1, allowed);
    }

    @Test
    void attemptWithoutEarlierExecutionHasNoDeduplicationWindow() {
        assertEquals(
                Verdict.ALLOWED,
                DispatchGuard.check(true, Long.MAX_VALUE - 2, Long.MAX_VALUE - 1, Long.MAX_VALUE, 0, 0, false));
    }
}
