package weldhitch.lab.site;

import java.util.PriorityQueue;

/**
 * The virtual clock and event queue of a discrete-event simulation: runs scheduled work in order of its time,
 * and in order of scheduling where times are equal. Single-threaded.
 */
public final class Clockwork {
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long now;
    private long planned;

    /** A clock that starts at this time, in nanoseconds. */
    public Clockwork(long start) {
        now = start;
    }

    /** Work and when it is due; {@code number} breaks ties. */
    private record Due(long at, long number, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** The current virtual time in nanoseconds. */
    public long now() {
        return now;
    }

    /** Schedules work this many nanoseconds from now; negative delays count as 0. */
    public void after(long nanos, Runnable work) {
        due.add(new Due(now + Math.max(0, nanos), planned++, work));
    }

    /** Runs all work due up to and including {@code end}, which is the time afterwards. */
    public void runUntil(long end) {
        while (!due.isEmpty() && due.peek().at <= end) {
            Due next = due.poll();
            now = next.at;
            next.work.run();
        }
        now = end;
    }
}
