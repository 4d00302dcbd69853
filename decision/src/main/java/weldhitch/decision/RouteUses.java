package weldhitch.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The states of all routes; a route keeps the state it had in the previous table where its policy is the same.
 * The set of routes does not change once created, so it can be prepared on another thread and then handed to
 * the balancer, which activates it in constant time. The states themselves belong to the balancer's thread.
 */
public final class RouteUses implements PreparedRoutes {
    static final RouteUses NONE = new RouteUses(null, Map.of());

    private final Routes routes;
    private final Map<String, RouteUse> byName;
    /** The route states that this was prepared from, until it is activated. */
    private RouteUses before;

    RouteUses(Routes routes, Map<String, RouteUse> byName) {
        this.routes = routes;
        this.byName = byName;
    }

    /** Returns the route table, or null for none. */
    public Routes routes() {
        return routes;
    }

    /**
     * Prepares the states of the next route table.
     *
     * @param next null for none
     * @param siblings number of nodes that share the tenants' quotas
     */
    public RouteUses then(Routes next, int siblings) {
        Map<String, RouteUse> uses = new LinkedHashMap<>();
        Map<String, RouteUse> groups = new LinkedHashMap<>();
        for (Routes.Route route : next == null ? List.<Routes.Route>of() : next.all()) {
            RouteUse shared = groups.get(route.group());
            RouteUse use = new RouteUse(route.rules(), siblings, shared == null ? byName.get(route.name()) : shared);
            groups.putIfAbsent(route.group(), use);
            uses.put(route.name(), use);
        }
        RouteUses made = new RouteUses(next, uses);
        made.before = this;
        return made;
    }

    /** Whether this was prepared from {@code active}, and so shares its states. */
    boolean follows(RouteUses inForce) {
        return before == inForce;
    }

    /** Called on activation: releases the previous states. */
    void taken() {
        before = null;
    }

    RouteUse of(String route) {
        return byName.get(route);
    }

    /** Returns the state of the route that a request matches, or null. */
    RouteUse match(Balancing.Arrival arrival) {
        if (routes == null || arrival.target() == null) {
            return null;
        }
        Routes.Route route = routes.match(arrival.requestClass(), arrival.method(), arrival.target());
        return route == null ? null : byName.get(route.name());
    }

    /** Whether a request would get another policy here than there. */
    public boolean differs(RouteUses other, String requestClass, String method, String target) {
        return !rules(requestClass, method, target).equals(other.rules(requestClass, method, target));
    }

    private RouteRules rules(String requestClass, String method, String target) {
        Routes.Route route = routes == null ? null : routes.match(requestClass, method, target);
        return route == null ? RouteRules.NONE : route.rules();
    }
}
