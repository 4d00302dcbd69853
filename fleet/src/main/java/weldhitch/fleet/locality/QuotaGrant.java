package weldhitch.fleet.locality;

/**
 * Permission, with an expiry time, for a node to send calls to a zone other than its own. Immutable.
 *
 * @param callsPerSecond permitted rate in calls per second
 * @param expiresAt time at which the grant expires, by the clock of the node that holds it, in nanoseconds
 */
public record QuotaGrant(double callsPerSecond, long expiresAt) {
    /** A grant that permits no calls. */
    public static final QuotaGrant NONE = new QuotaGrant(0, Long.MIN_VALUE);
}
