package weldhitch.node;

/**
 * A wall clock that never goes back: the epoch time of its creation plus the monotonic time since then. Immutable,
 * thread-safe.
 */
final class Clock {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long startEpochNanos = System.currentTimeMillis() * NANOS_PER_MILLI;
    private final long startMonotonicNanos = System.nanoTime();

    /** Returns the nanoseconds since the epoch. */
    long now() {
        return startEpochNanos + (System.nanoTime() - startMonotonicNanos);
    }

    /** Converts a discovery entry's {@code born_ms} to nanoseconds; 0 stays 0, which means a start long ago. */
    static long ofMillis(long millis) {
        return millis * NANOS_PER_MILLI;
    }
}
