package weldhitch.fleet.activation;

/**
 * Identifies a route version. Immutable.
 *
 * @param number 0 for a member's own file; other versions are numbered by the coordinators
 * @param sha256 SHA-256 digest of its bundle in hexadecimal; empty for number 0
 */
public record RouteVersion(long number, String sha256) {
    /** A member's own file. */
    public static final RouteVersion OWN_FILE = new RouteVersion(0, "");
}
