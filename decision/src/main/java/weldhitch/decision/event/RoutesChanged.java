package weldhitch.decision.event;

import weldhitch.decision.routing.PreparedRoutes;
import weldhitch.decision.routing.RouteTable;

/**
 * Replaces the routes for requests that arrive from now on; in-flight requests keep their policies.
 *
 * @param routes the new routes, null for none
 * @param prepared state of the same routes that was prepared in advance, or null; it affects only the cost of the
 *     change
 */
public record RoutesChanged(RouteTable routes, PreparedRoutes prepared) implements BalancerEvent {
    /** Creates a change of routes without prepared state. */
    public RoutesChanged(RouteTable routes) {
        this(routes, null);
    }
}
