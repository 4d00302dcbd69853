package weldhitch.lab.site;

import java.util.PriorityQueue;

/** Virtual time: what is due is run in the order of its time, and of its planning where times are equal. */
public final class Clockwork {
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long now;
    private long planned;

    public Clockwork(long start) {
        now = start;
    }

    private record Due(long at, long number, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** Nanoseconds. */
    public long now() {
        return now;
    }

    public void after(long nanos, Runnable work) {
        due.add(new Due(now + Math.max(0, nanos), planned++, work));
    }

    public void runUntil(long end) {
        while (!due.isEmpty() && due.peek().at <= end) {
            Due next = due.poll();
            now = next.at;
            next.work.run();
        }
        now = end;
    }
}
