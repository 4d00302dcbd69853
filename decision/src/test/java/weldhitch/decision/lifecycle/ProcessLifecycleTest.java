package weldhitch.decision.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import weldhitch.decision.lifecycle.ProcessLifecycle.LifecycleAction;

/** Tests the process lifecycle exhaustively over sequences of signals and completions. */
class ProcessLifecycleTest {
    private static final int SEQUENCE_LENGTH = 9;

    /** All sequences of up to nine events: two million. */
    @Test
    void everySequenceOfSignalsLeadsToValidActions() {
        int[] events = new int[SEQUENCE_LENGTH];
        int played = 0;
        do {
            play(events);
            played++;
        } while (nextSequence(events));
        assertEquals((int) Math.pow(5, SEQUENCE_LENGTH), played);
    }

    private static boolean nextSequence(int[] events) {
        for (int i = 0; i < events.length; i++) {
            if (++events[i] < 5) {
                return true;
            }
            events[i] = 0;
        }
        return false;
    }

    /**
     * 0 SIGHUP, 1 SIGTERM, 2 next step of the start, 3 reload ended, 4 drain ended; impossible events are
     * skipped.
     */
    private static void play(int[] events) {
        ProcessLifecycle lifecycle = new ProcessLifecycle();
        int startupPhase = 0;
        boolean terminated = false;
        boolean draining = false;
        boolean ended = false;
        boolean reloading = false;
        boolean reloadPending = false;
        for (int event : events) {
            LifecycleAction action = LifecycleAction.NONE;
            if (event == 0) {
                reloadPending = !ended;
                action = lifecycle.onHangUp();
            } else if (event == 1) {
                action = lifecycle.onTerminate();
                if (terminated) {
                    assertEquals(LifecycleAction.NONE, action, "told to end twice");
                } else {
                    assertEquals(startupPhase > 0 ? LifecycleAction.DRAIN : LifecycleAction.EXIT, action);
                }
                draining |= action == LifecycleAction.DRAIN;
                ended |= action == LifecycleAction.EXIT;
                terminated = true;
            } else if (event == 2 && startupPhase == 0 && !ended) {
                assertTrue(lifecycle.tryOpenListener());
                startupPhase = 1;
            } else if (event == 2 && startupPhase == 0) {
                assertFalse(lifecycle.tryOpenListener(), "listens though it was told to end");
            } else if (event == 2 && startupPhase == 1) {
                startupPhase = 2;
                action = lifecycle.onListening();
            } else if (event == 3 && reloading) {
                reloading = false;
                action = lifecycle.onReloaded();
            } else if (event == 4 && draining) {
                lifecycle.onDrained();
                ended = true;
            }
            if (action == LifecycleAction.RELOAD) {
                assertFalse(reloading, "two reloads at once");
                assertTrue(reloadPending && startupPhase > 0 && !ended, "a reload that nobody asked for");
                reloading = true;
                reloadPending = false;
            }
            // A requested reload is running or waits for the running one, unless the node is not listening.
            assertTrue(!reloadPending || reloading || startupPhase < 2 || ended, "a reload was forgotten");
        }
    }
}
