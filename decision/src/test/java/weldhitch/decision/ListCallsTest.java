package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.Node.MS;
import static weldhitch.decision.Node.SECOND;

import org.junit.jupiter.api.Test;
import weldhitch.decision.ListCalls.Failure;

class ListCallsTest {
    /** What discovery tells counts as told 2 s after a call's wait is over, and drains must be kept 2 s later. */
    @Test
    void listIsAskedForAgainBeforeDrainsAreBrokenWhateverCallsEndIn() {
        for (Failure why : Failure.values()) {
            ListCalls calls = new ListCalls(5, 28);
            for (int i = 0; i < 100; i++) {
                long silent = calls.patience();
                long wait = calls.failed(why);
                assertTrue(wait >= 0 && silent + wait < 4 * SECOND, why + ": " + silent + " and " + wait);
            }
        }
    }

    @Test
    void silentWatchIsGivenUpSoonAndASlowDiscoveryIsGivenMoreTime() {
        ListCalls calls = new ListCalls(5, 4);
        assertEquals(500 * MS, calls.patience());
        calls.failed(Failure.SILENT);
        assertEquals(SECOND, calls.patience());
        calls.answered(900 * MS);
        assertTrue(calls.patience() >= 1800 * MS, "twice what the last answer took");
        for (int i = 0; i < 10; i++) {
            calls.answered(15 * MS);
        }
        assertEquals(500 * MS, calls.patience());
    }

    /** All watches end in one moment. */
    @Test
    void nodesThatLoseTheirWatchesTogetherDoNotAskAgainTogether() {
        int[] byTenth = new int[10];
        for (int node = 0; node < 28; node++) {
            byTenth[(int) (new ListCalls(1000 + node, 28).failed(Failure.BROKEN) / (100 * MS))]++;
        }
        for (int calls : byTenth) {
            assertTrue(calls <= 9, calls + " of 28 calls within 100 ms");
        }
    }

    @Test
    void waitsGrowWithEachFailureAndEndWithAnAnswer() {
        double first = 0;
        double fourth = 0;
        for (int seed = 0; seed < 200; seed++) {
            ListCalls calls = new ListCalls(seed, 2);
            first += calls.failed(Failure.BROKEN);
            calls.failed(Failure.BROKEN);
            calls.failed(Failure.BROKEN);
            fourth += calls.failed(Failure.BROKEN);
            calls.answered(0);
            assertEquals(0, calls.failures());
        }
        assertTrue(fourth > 5 * first, first + " and " + fourth);
    }

    @Test
    void wholeListIsAskedForOnlyWhereTheSameCallDidNotMendABadAnswer() {
        ListCalls calls = new ListCalls(5, 4);
        calls.failed(Failure.BROKEN);
        calls.failed(Failure.SILENT);
        calls.failed(Failure.UNREADABLE);
        assertFalse(calls.wantsWhole());
        calls.failed(Failure.NOT_HELD);
        assertTrue(calls.wantsWhole());
        calls.answered(0);
        assertFalse(calls.wantsWhole());
        calls.moved();
        assertTrue(calls.wantsWhole(), "versions of another discovery say nothing");
    }
}
