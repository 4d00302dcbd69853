package weldhitch.fleet.locality;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions in virtual time; those of one time run in the order in which they were scheduled. Not thread-safe. */
final class TestScheduler {
    private record ScheduledEvent(long at, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::at).thenComparingLong(ScheduledEvent::sequence));
    private long nextSequence;

    /** Schedules an action for a time. */
    void schedule(long at, Runnable action) {
        events.add(new ScheduledEvent(at, nextSequence++, action));
    }

    /** The time of the next action, of which there must be one. */
    long nextTime() {
        return events.element().at;
    }

    /** Runs the next action, of which there must be one. */
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
