package weldhitch.simulator.cluster;

import java.util.PriorityQueue;

/**
 * The virtual clock and event queue of a discrete-event simulation: runs scheduled work in order of its time,
 * and in order of scheduling where times are equal. Single-threaded.
 */
public final class EventScheduler {
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
    private long now;
    private long nextSequence;

    /** Creates a clock that starts at this time, in nanoseconds. */
    public EventScheduler(long startTime) {
        now = startTime;
    }

    /** A task and the time at which it is due; {@code sequence} breaks ties. */
    private record ScheduledEvent(long time, long sequence, Runnable task) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the current virtual time in nanoseconds. */
    public long now() {
        return now;
    }

    /** Schedules a task this many nanoseconds from now; negative delays count as 0. */
    public void schedule(long delay, Runnable task) {
        events.add(new ScheduledEvent(now + Math.max(0, delay), nextSequence++, task));
    }

    /** Runs all tasks due up to and including {@code endTime}, which is the current time afterwards. */
    public void runUntil(long endTime) {
        while (!events.isEmpty() && events.peek().time <= endTime) {
            ScheduledEvent next = events.poll();
            now = next.time;
            next.task.run();
        }
        now = endTime;
    }
}
