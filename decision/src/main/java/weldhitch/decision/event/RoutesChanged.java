package weldhitch.decision.event;

import weldhitch.decision.routing.PreparedRoutes;
import weldhitch.decision.routing.RouteTable;

/**
 * Requests that arrive from now on use these routes; null for none. Requests in flight keep their policies.
 *
 * @param prepared the state of the same routes, prepared ahead, or null; it changes nothing but the cost
 */
public record RoutesChanged(RouteTable routes, PreparedRoutes prepared) implements BalancerEvent {
    /** Routes without prepared state. */
    public RoutesChanged(RouteTable routes) {
        this(routes, null);
    }
}
