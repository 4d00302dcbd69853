package weldhitch.capture.policy;

/**
 * The events that were not written between two times. Immutable.
 *
 * @param from time of the first one, inclusive, in nanoseconds of the node's clock
 * @param to time of the last one, inclusive, in nanoseconds of the node's clock
 * @param events number of events
 */
public record DroppedEvents(long from, long to, long events) {
    /**
     * Returns the union of both: the earliest and the latest time, and the sum of the counts.
     *
     * @param other may be null
     */
    public DroppedEvents merge(DroppedEvents other) {
        return other == null
                ? this
                : new DroppedEvents(Math.min(from, other.from), Math.max(to, other.to), events + other.events);
    }
}
