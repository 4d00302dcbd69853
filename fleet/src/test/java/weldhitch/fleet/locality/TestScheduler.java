package weldhitch.fleet.locality;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in virtual time; actions of the same time run in the order of scheduling. Not thread-safe. */
final class TestScheduler {
    private record ScheduledEvent(long at, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::at).thenComparingLong(ScheduledEvent::sequence));
    private long nextSequence;

    /** Schedules an action for a time. */
    void schedule(long at, Runnable action) {
        events.add(new ScheduledEvent(at, nextSequence++, action));
    }

    /** Returns the time of the next action; there must be one. */
    long nextTime() {
        return events.element().at;
    }

    /** Runs the next action; there must be one. */
    void runNext() {
        events.remove().action.run();
    }

    /** Runs all actions that are due at {@code now}. */
    void runDue(long now) {
        while (!events.isEmpty() && nextTime() <= now) {
            runNext();
        }
    }
}
