package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import weldhitch.decision.LifeCycle.Step;

/** Tests the process lifecycle exhaustively over sequences of signals and completions. */
class LifeCycleTest {
    private static final int LENGTH = 9;

    /** All sequences of up to nine events: two million. */
    @Test
    void everySequenceOfSignalsIsInOrder() {
        int[] happens = new int[LENGTH];
        int played = 0;
        do {
            play(happens);
            played++;
        } while (next(happens));
        assertEquals((int) Math.pow(5, LENGTH), played);
    }

    private static boolean next(int[] happens) {
        for (int i = 0; i < happens.length; i++) {
            if (++happens[i] < 5) {
                return true;
            }
            happens[i] = 0;
        }
        return false;
    }

    /**
     * 0 SIGHUP, 1 SIGTERM, 2 next step of the start, 3 reload ended, 4 drain ended; impossible events are
     * skipped.
     */
    private static void play(int[] happens) {
        LifeCycle life = new LifeCycle();
        int started = 0;
        boolean terminated = false;
        boolean draining = false;
        boolean ended = false;
        boolean reloading = false;
        boolean owed = false;
        for (int what : happens) {
            Step step = Step.NOTHING;
            if (what == 0) {
                owed = !ended;
                step = life.hangUp();
            } else if (what == 1) {
                step = life.terminate();
                if (terminated) {
                    assertEquals(Step.NOTHING, step, "told to end twice");
                } else {
                    assertEquals(started > 0 ? Step.DRAIN : Step.END, step);
                }
                draining |= step == Step.DRAIN;
                ended |= step == Step.END;
                terminated = true;
            } else if (what == 2 && started == 0 && !ended) {
                assertTrue(life.mayListen());
                started = 1;
            } else if (what == 2 && started == 0) {
                assertFalse(life.mayListen(), "listens though it was told to end");
            } else if (what == 2 && started == 1) {
                started = 2;
                step = life.listening();
            } else if (what == 3 && reloading) {
                reloading = false;
                step = life.reloaded();
            } else if (what == 4 && draining) {
                life.drained();
                ended = true;
            }
            if (step == Step.RELOAD) {
                assertFalse(reloading, "two reloads at once");
                assertTrue(owed && started > 0 && !ended, "a reload that nobody asked for");
                reloading = true;
                owed = false;
            }
            // A requested reload is running or waits for the running one, unless the node is not listening.
            assertTrue(!owed || reloading || started < 2 || ended, "a reload was forgotten");
        }
    }
}
