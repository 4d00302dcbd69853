package weldhitch.fleet.member;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of a node's membership in its fleet, read from the route configuration. Immutable.
 *
 * @param cluster the fleet's name, which must equal the one configured at its coordinators
 * @param coordinators addresses of the coordinators, at least one
 * @param fenceBeforeJoin whether requests are rejected until a coordinator has reported the active version
 * @param exposeVersion whether responses name the route version that decided their request
 */
public record FleetSettings(
        String cluster, List<InetSocketAddress> coordinators, boolean fenceBeforeJoin, boolean exposeVersion) {
    /** Copies the list, so that the record stays immutable. */
    public FleetSettings {
        coordinators = List.copyOf(coordinators);
    }
}
