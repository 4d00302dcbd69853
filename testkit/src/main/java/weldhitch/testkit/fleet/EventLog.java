package weldhitch.testkit.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Records all events of a test in one sequence, on the clock of this process. Thread-safe. */
public final class EventLog {
    /**
     * A recorded event. Immutable.
     *
     * @param atNanos nanoseconds since the event log was created
     * @param source the process, link or service that the event concerns
     */
    public record Entry(long atNanos, String source, String event) {
        @Override
        public String toString() {
            return String.format(java.util.Locale.ROOT, "%9.3f ms %s: %s", atNanos / 1e6, source, event);
        }
    }

    private final long startedAt = System.nanoTime();
    private final List<Entry> entries = new ArrayList<>();

    /** Returns the nanoseconds since the event log was created. */
    public long elapsedNanos() {
        return System.nanoTime() - startedAt;
    }

    /** Appends an event at the current time and returns that time. */
    public synchronized long append(String source, String event) {
        long atNanos = elapsedNanos();
        entries.add(new Entry(atNanos, source, event));
        notifyAll();
        return atNanos;
    }

    /** Returns all entries so far, in order. */
    public synchronized List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** Waits for the first matching entry at or after {@code fromIndex}; fails after {@code timeoutSeconds}. */
    public synchronized Entry awaitEntry(int fromIndex, int timeoutSeconds, Predicate<Entry> predicate)
            throws InterruptedException {
        long deadline = System.nanoTime() + timeoutSeconds * 1_000_000_000L;
        int index = fromIndex;
        while (true) {
            for (; index < entries.size(); index++) {
                if (predicate.test(entries.get(index))) {
                    return entries.get(index);
                }
            }
            long remaining = deadline - System.nanoTime();
            if (remaining <= 0) {
                throw new AssertionError("no matching event within the timeout; the latest events:\n" + tail(40));
            }
            wait(Math.max(1, remaining / 1_000_000));
        }
    }

    /** Returns the last {@code count} entries, one line each, for the message of a failing test. */
    public synchronized String tail(int count) {
        return entries.subList(Math.max(0, entries.size() - count), entries.size()).stream()
                .map(Entry::toString)
                .collect(Collectors.joining("\n"));
    }
}
