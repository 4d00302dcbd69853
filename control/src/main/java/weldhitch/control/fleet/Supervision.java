package weldhitch.control.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When to start an instance again that has ended by itself: after a wait that doubles with each end up to a bound, and
 * not at all once it ends too often, which no further start will mend. Times are nanoseconds of the caller's clock.
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
     * @param firstWait before the first start anew
     * @param longestWait what doubling stops at
     * @param calm how long it must have run for the wait to begin anew
     * @param mostEnds so many ends ...
     * @param within ... in this time are a crash loop
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

    public void started(long now) {
        startedAt = now;
    }

    /** It ended and was not told to. Returns how long to wait before the next start, or -1 for a crash loop. */
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

    /** An operator wants it tried again: what was counted is forgotten. */
    public void forgive() {
        ends.clear();
        inARow = 0;
    }
}
