package weldhitch.decision.balancing;

import java.util.PriorityQueue;

/**
 * The balancer's timers, ordered by time and then by the order in which they were scheduled. Only the earliest one is
 * requested from the caller. Times are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class TimerQueue {
    /**
     * A scheduled timer.
     *
     * @param request the request to wake up; null for the subscription to endpoint updates
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
    /** Time at which the timer requested last fires; {@link Long#MAX_VALUE} if none is pending. */
    long armedAt = Long.MAX_VALUE;
    /** The next sequence number; requests and timers share one sequence. */
    long nextSequence;

    long nextSequenceNumber() {
        return nextSequence++;
    }

    void schedule(long fireAt, RequestState request) {
        queue.add(new ScheduledTimer(fireAt, nextSequence++, request, false));
    }

    /** Records that a timer has fired. If the timer requested last is due, none is pending any more. */
    void onTimerFired(long now) {
        if (now >= armedAt) {
            armedAt = Long.MAX_VALUE;
        }
    }

    /** Removes and returns the next expired timer; null if there is none. */
    ScheduledTimer pollExpired(long now) {
        return queue.isEmpty() || queue.peek().fireAt > now ? null : queue.poll();
    }

    /** Returns the delay in nanoseconds of the timer to request now, or a negative number if none is needed. */
    long nextDelay(long now) {
        if (queue.isEmpty() || queue.peek().fireAt >= armedAt) {
            return -1;
        }
        armedAt = queue.peek().fireAt;
        return Math.max(0, armedAt - now);
    }
}
