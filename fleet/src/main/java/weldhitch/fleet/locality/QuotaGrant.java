package weldhitch.fleet.locality;

/**
 * Permission for a node to send calls to a zone other than its own, with a lease. Immutable.
 *
 * @param callsPerSecond calls per second
 * @param expiresAt when it expires, by the clock of the node that has it
 */
public record QuotaGrant(double callsPerSecond, long expiresAt) {
    /** No permission. */
    public static final QuotaGrant NONE = new QuotaGrant(0, Long.MIN_VALUE);
}
