package weldhitch.control.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides when to restart an instance that has exited by itself: after an exponential backoff up to a maximum,
 * and not at all in a crash loop, which another restart will not fix. Times are nanoseconds of the caller's
 * clock.
 *
 * <p>Not thread-safe.
 */
public final class Supervision {
    private final long firstWait;
    private final long longestWait;
    private final long calm;
    private final int mostEnds;
    private final long within;
    private final Deque<Long> ends = new ArrayDeque<>();
    private int inARow;
    private long startedAt;

    /**
     * Creates the backoff state of one instance.
     *
     * @param firstWait delay before the first restart
     * @param longestWait maximum delay, where doubling stops
     * @param calm how long the instance must run for the delay to be reset
     * @param mostEnds this many exits ...
     * @param within ... within this time are a crash loop
     */
    public Supervision(long firstWait, long longestWait, long calm, int mostEnds, long within) {
        if (firstWait <= 0 || longestWait < firstWait || calm <= 0 || mostEnds < 1 || within <= 0) {
            throw new IllegalArgumentException("wanted: spans over 0, the longest wait no shorter than the first");
        }
        this.firstWait = firstWait;
        this.longestWait = longestWait;
        this.calm = calm;
        this.mostEnds = mostEnds;
        this.within = within;
    }

    /** Records that the instance has started. */
    public void started(long now) {
        startedAt = now;
    }

    /**
     * Records an exit that nobody requested. Returns the delay before the next restart, or -1 for a crash loop.
     */
    public long ended(long now) {
        inARow = now - startedAt >= calm ? 1 : inARow + 1;
        ends.addLast(now);
        while (now - ends.peekFirst() > within) {
            ends.removeFirst();
        }
        if (ends.size() >= mostEnds) {
            return -1;
        }
        int doublings = inARow - 1;
        return doublings > 40 || firstWait > longestWait >> doublings ? longestWait : firstWait << doublings;
    }

    /** Resets all counts, because an operator requests another attempt. */
    public void forgive() {
        ends.clear();
        inARow = 0;
    }
}
