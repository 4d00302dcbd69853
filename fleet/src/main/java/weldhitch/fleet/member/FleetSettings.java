package weldhitch.fleet.member;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a node takes part in its fleet; read from the route configuration. Immutable.
 *
 * @param cluster the fleet's name, as its coordinators have it
 * @param coordinators addresses of the coordinators, at least one
 * @param fenceBeforeJoin whether requests are rejected until a coordinator has reported the active version
 * @param exposeVersion whether responses name the version by which their request was decided
 */
public record FleetSettings(
        String cluster, List<InetSocketAddress> coordinators, boolean fenceBeforeJoin, boolean exposeVersion) {
    /** Copies the list, so that the record stays immutable. */
    public FleetSettings {
        coordinators = List.copyOf(coordinators);
    }
}
