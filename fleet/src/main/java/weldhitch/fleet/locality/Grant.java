package weldhitch.fleet.locality;

/**
 * Permission for a node to send calls to a zone other than its own, with a lease. Immutable.
 *
 * @param perSecond calls per second
 * @param until when it expires, by the clock of the node that has it
 */
public record Grant(double perSecond, long until) {
    /** No permission. */
    public static final Grant NONE = new Grant(0, Long.MIN_VALUE);
}
