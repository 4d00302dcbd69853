package weldhitch.node;

/**
 * A wall clock that never goes back: the start's epoch time plus the monotonic time since. Immutable,
 * thread-safe.
 */
final class Clock {
    private static final long MILLI = 1_000_000L;

    private final long epoch = System.currentTimeMillis() * MILLI;
    private final long start = System.nanoTime();

    /** Nanoseconds since the epoch. */
    long now() {
        return epoch + (System.nanoTime() - start);
    }

    /** Nanoseconds of a discovery entry's {@code born_ms}; 0 stays 0 and means "long ago". */
    static long ofMillis(long millis) {
        return millis * MILLI;
    }
}
