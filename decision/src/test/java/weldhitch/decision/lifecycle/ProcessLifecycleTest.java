package weldhitch.decision.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import weldhitch.decision.lifecycle.ProcessLifecycle.LifecycleAction;

/** Tests the process lifecycle exhaustively over sequences of signals and completions. */
class ProcessLifecycleTest {
    private static final int SEQUENCE_LENGTH = 9;

    /** Tests all sequences of nine events, about two million. */
    @Test
    void everySequenceOfSignalsLeadsToValidActions() {
        int[] events = new int[SEQUENCE_LENGTH];
        int sequenceCount = 0;
        do {
            runSequence(events);
            sequenceCount++;
        } while (nextSequence(events));
        assertEquals((int) Math.pow(5, SEQUENCE_LENGTH), sequenceCount);
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
     * Applies a sequence of events: 0 SIGHUP, 1 SIGTERM, 2 next step of the start, 3 reload ended, 4 drain ended.
     * Events that are impossible in the current state are skipped.
     */
    private static void runSequence(int[] events) {
        ProcessLifecycle lifecycle = new ProcessLifecycle();
        int startupPhase = 0;
        boolean terminationRequested = false;
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
                if (terminationRequested) {
                    assertEquals(LifecycleAction.NONE, action, "a second SIGTERM has an effect");
                } else {
                    assertEquals(startupPhase > 0 ? LifecycleAction.DRAIN : LifecycleAction.EXIT, action);
                }
                draining |= action == LifecycleAction.DRAIN;
                ended |= action == LifecycleAction.EXIT;
                terminationRequested = true;
            } else if (event == 2 && startupPhase == 0 && !ended) {
                assertTrue(lifecycle.tryOpenListener());
                startupPhase = 1;
            } else if (event == 2 && startupPhase == 0) {
                assertFalse(lifecycle.tryOpenListener(), "the listener opens after SIGTERM");
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
                assertFalse(reloading, "two reloads at the same time");
                assertTrue(reloadPending && startupPhase > 0 && !ended, "a reload that was not requested");
                reloading = true;
                reloadPending = false;
            }
            // A requested reload is running or waits for the running one, unless the node is not listening.
            assertTrue(!reloadPending || reloading || startupPhase < 2 || ended, "a requested reload was not started");
        }
    }
}
