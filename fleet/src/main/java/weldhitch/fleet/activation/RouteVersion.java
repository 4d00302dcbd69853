package weldhitch.fleet.activation;

/**
 * Identifies a route version. Immutable.
 *
 * @param number 0 for a member's own file; the coordinators count the others
 * @param sha256 of its bundle, in hex; empty for number 0
 */
public record RouteVersion(long number, String sha256) {
    /** A member's own file. */
    public static final RouteVersion OWN_FILE = new RouteVersion(0, "");
}
