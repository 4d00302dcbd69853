package weldhitch.capture.policy;

/** So many events from one time to another, both counted in, that were not written. Nanoseconds of the node's clock. */
public record Missed(long from, long to, long events) {
    /** Both together. */
    public Missed and(Missed other) {
        return other == null ? this
            : new Missed(Math.min(from, other.from), Math.max(to, other.to), events + other.events);
    }
}
