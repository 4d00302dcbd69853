package weldhitch.decision.balancing;

import java.util.PriorityQueue;

/**
 * The balancer's timers, ordered by time, then by when they were scheduled. Only the earliest is requested
 * from the caller. Times are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class TimerQueue {
    /**
     * A scheduled timer.
     *
     * @param request the request that waits; null for the subscription to endpoint updates
     * @param cancelled whether it is cancelled, so that it fires without effect
     */
    record ScheduledTimer(long fireAt, long sequence, RequestState request, boolean cancelled)
            implements Comparable<ScheduledTimer> {
        @Override
        public int compareTo(ScheduledTimer other) {
            return fireAt != other.fireAt ? Long.compare(fireAt, other.fireAt) : Long.compare(sequence, other.sequence);
        }
    }

    final PriorityQueue<ScheduledTimer> queue = new PriorityQueue<>();
    /** When the timer requested last fires; {@link Long#MAX_VALUE} if none is pending. */
    long armedAt = Long.MAX_VALUE;
    /** Sequence numbers given so far, to requests as well as timers. */
    long nextSequence;

    long nextSequenceNumber() {
        return nextSequence++;
    }

    void schedule(long fireAt, RequestState request) {
        queue.add(new ScheduledTimer(fireAt, nextSequence++, request, false));
    }

    /** A timer has fired: if the one requested last is due, none is pending any more. */
    void onTimerFired(long now) {
        if (now >= armedAt) {
            armedAt = Long.MAX_VALUE;
        }
    }

    /** Removes and returns the next expired timer; null if there is none. */
    ScheduledTimer pollExpired(long now) {
        return queue.isEmpty() || queue.peek().fireAt > now ? null : queue.poll();
    }

    /** Returns the delay in nanoseconds of the timer to request now; below 0 if none is needed. */
    long nextDelay(long now) {
        if (queue.isEmpty() || queue.peek().fireAt >= armedAt) {
            return -1;
        }
        armedAt = queue.peek().fireAt;
        return Math.max(0, armedAt - now);
    }
}
