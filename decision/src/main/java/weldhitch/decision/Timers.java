package weldhitch.decision;

import java.util.PriorityQueue;

/**
 * The balancer's timers, ordered by time, then by when they were scheduled. Only the earliest is requested
 * from the caller. Times are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class Timers {
    /**
     * A scheduled timer.
     *
     * @param request the request that waits; null for the subscription to endpoint updates
     * @param spent whether it is cancelled, so that it fires without effect
     */
    record Due(long at, long number, Request request, boolean spent) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    final PriorityQueue<Due> due = new PriorityQueue<>();
    /** When the timer requested last fires; {@link Long#MAX_VALUE} if none is pending. */
    long armedFor = Long.MAX_VALUE;
    /** Sequence numbers given so far, to requests as well as timers. */
    long numbers;

    long nextNumber() {
        return numbers++;
    }

    void plan(long at, Request request) {
        due.add(new Due(at, numbers++, request, false));
    }

    /** A timer has fired: if the one requested last is due, none is pending any more. */
    void came(long now) {
        if (now >= armedFor) {
            armedFor = Long.MAX_VALUE;
        }
    }

    /** Removes and returns the next expired timer; null if there is none. */
    Due poll(long now) {
        return due.isEmpty() || due.peek().at > now ? null : due.poll();
    }

    /** Returns the delay in nanoseconds of the timer to request now; below 0 if none is needed. */
    long arm(long now) {
        if (due.isEmpty() || due.peek().at >= armedFor) {
            return -1;
        }
        armedFor = due.peek().at;
        return Math.max(0, armedFor - now);
    }
}
