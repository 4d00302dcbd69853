package weldhitch.decision.balancing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.routing.PreparedRoutes;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RouteTable;

/**
 * The states of all routes. A route keeps the state it had in the previous route table where its policy is the same.
 * The set of routes does not change after creation, so another thread can prepare it and then hand it to the balancer,
 * which activates it in constant time. The states themselves are owned by the balancer's thread.
 */
public final class RouteStates implements PreparedRoutes {
    static final RouteStates NONE = new RouteStates(null, Map.of());

    private final RouteTable routes;
    private final Map<String, RouteState> byName;
    /** The route states from which these were prepared; null after activation. */
    private RouteStates predecessor;

    RouteStates(RouteTable routes, Map<String, RouteState> byName) {
        this.routes = routes;
        this.byName = byName;
    }

    /** Returns the route table, or null if there is none. */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Prepares the states of the next route table.
     *
     * @param next the next route table, or null for none
     * @param nodeCount number of nodes that share the tenants' quotas
     */
    public RouteStates prepareNext(RouteTable next, int nodeCount) {
        Map<String, RouteState> states = new LinkedHashMap<>();
        Map<String, RouteState> firstOfGroup = new LinkedHashMap<>();
        for (RouteTable.Route route : next == null ? List.<RouteTable.Route>of() : next.routes()) {
            RouteState sameGroup = firstOfGroup.get(route.group());
            RouteState state =
                    new RouteState(route.policy(), nodeCount, sameGroup == null ? byName.get(route.name()) : sameGroup);
            firstOfGroup.putIfAbsent(route.group(), state);
            states.put(route.name(), state);
        }
        RouteStates successor = new RouteStates(next, states);
        successor.predecessor = this;
        return successor;
    }

    /** Returns whether these states were prepared from {@code active}, and so share its states. */
    boolean isSuccessorOf(RouteStates active) {
        return predecessor == active;
    }

    /** Releases the previous states. Called on activation. */
    void releasePredecessor() {
        predecessor = null;
    }

    RouteState forRoute(String routeName) {
        return byName.get(routeName);
    }

    /** Returns the state of the route that a request matches, or null if it matches none. */
    RouteState match(RequestArrived arrival) {
        if (routes == null || arrival.target() == null) {
            return null;
        }
        RouteTable.Route route = routes.match(arrival.requestClass(), arrival.method(), arrival.target());
        return route == null ? null : byName.get(route.name());
    }

    /** Returns whether a request would get a different policy from these routes than from {@code other}. */
    public boolean decidesDifferently(RouteStates other, String requestClass, String method, String target) {
        return !policyFor(requestClass, method, target).equals(other.policyFor(requestClass, method, target));
    }

    private RoutePolicy policyFor(String requestClass, String method, String target) {
        RouteTable.Route route = routes == null ? null : routes.match(requestClass, method, target);
        return route == null ? RoutePolicy.NONE : route.policy();
    }
}
