package weldhitch.rollout;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides when to restart an instance that has exited by itself: after an exponential backoff up to a maximum, but not
 * at all in a crash loop, which another restart would not fix. Times are nanoseconds of the caller's clock.
 *
 * <p>Not thread-safe.
 */
public final class RestartBackoff {
    /** The result of {@link #onExited} when the instance is not to be restarted. */
    public static final long CRASH_LOOP = -1;

    /** Number of doublings beyond which the delay is always the maximum, because a larger shift could overflow. */
    private static final int MAX_DOUBLINGS = 40;

    private final long initialDelay;
    private final long maxDelay;
    private final long resetAfter;
    private final int maxExits;
    private final long exitWindow;
    private final Deque<Long> exitTimes = new ArrayDeque<>();
    private int consecutiveExits;
    private long startedAt;

    /**
     * Creates the backoff state of one instance.
     *
     * @param initialDelay the delay before the first restart
     * @param maxDelay the maximum delay, at which doubling stops
     * @param resetAfter how long the instance must run for the delay to be reset
     * @param maxExits the number of exits within {@code exitWindow} that constitutes a crash loop
     * @param exitWindow the period over which exits are counted
     */
    public RestartBackoff(long initialDelay, long maxDelay, long resetAfter, int maxExits, long exitWindow) {
        if (initialDelay <= 0 || maxDelay < initialDelay || resetAfter <= 0 || maxExits < 1 || exitWindow <= 0) {
            throw new IllegalArgumentException(
                    "expected durations above 0, maxExits of 1 or more, and maxDelay not below initialDelay");
        }
        this.initialDelay = initialDelay;
        this.maxDelay = maxDelay;
        this.resetAfter = resetAfter;
        this.maxExits = maxExits;
        this.exitWindow = exitWindow;
    }

    /** Records that the instance has started. */
    public void onStarted(long now) {
        startedAt = now;
    }

    /**
     * Records an exit that nobody requested. Returns the delay before the next restart, or {@link #CRASH_LOOP}.
     */
    public long onExited(long now) {
        consecutiveExits = now - startedAt >= resetAfter ? 1 : consecutiveExits + 1;
        exitTimes.addLast(now);
        while (now - exitTimes.peekFirst() > exitWindow) {
            exitTimes.removeFirst();
        }
        if (exitTimes.size() >= maxExits) {
            return CRASH_LOOP;
        }
        int doublings = consecutiveExits - 1;
        return doublings > MAX_DOUBLINGS || initialDelay > maxDelay >> doublings ? maxDelay : initialDelay << doublings;
    }

    /** Resets all counts because an operator requests another start. */
    public void reset() {
        exitTimes.clear();
        consecutiveExits = 0;
    }
}
