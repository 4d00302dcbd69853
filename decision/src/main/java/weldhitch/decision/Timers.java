package weldhitch.decision;

import java.util.PriorityQueue;

/** What is due, in the order of its time, and of its planning where times are equal. Times are nanoseconds. */
final class Timers {
    /** {@code request}: what waits, null for the list's subscription; {@code spent}: it no longer waits, only the time stands. */
    record Due(long at, long number, Request request, boolean spent) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    final PriorityQueue<Due> due = new PriorityQueue<>();
    /** When the timer asked for last comes; the most there is where none is out. */
    long armedFor = Long.MAX_VALUE;
    /** Numbers given so far, to requests too. */
    long numbers;

    long nextNumber() {
        return numbers++;
    }

    void plan(long at, Request request) {
        due.add(new Due(at, numbers++, request, false));
    }

    /** A timer came: whatever was asked for until now is no longer out. */
    void came(long now) {
        if (now >= armedFor) {
            armedFor = Long.MAX_VALUE;
        }
    }

    /** What is due next, taken out; null where nothing is yet. */
    Due poll(long now) {
        return due.isEmpty() || due.peek().at > now ? null : due.poll();
    }

    /** Nanoseconds until a timer must come that is not out yet; below 0 where none must. */
    long arm(long now) {
        if (due.isEmpty() || due.peek().at >= armedFor) {
            return -1;
        }
        armedFor = due.peek().at;
        return Math.max(0, armedFor - now);
    }
}
