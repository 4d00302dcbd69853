package weldhitch.node;

/**
 * A wall clock that never goes back: the epoch time of its creation plus the monotonic time since then. Immutable,
 * thread-safe.
 */
final class Clock {
    private static final long MILLI = 1_000_000L;

    private final long epoch = System.currentTimeMillis() * MILLI;
    private final long start = System.nanoTime();

    /** Returns the nanoseconds since the epoch. */
    long now() {
        return epoch + (System.nanoTime() - start);
    }

    /** Converts a discovery entry's {@code born_ms} to nanoseconds; 0 stays 0, which means a start long ago. */
    static long ofMillis(long millis) {
        return millis * MILLI;
    }
}
