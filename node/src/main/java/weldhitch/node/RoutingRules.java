package weldhitch.node;

import weldhitch.decision.balancing.RouteStates;
import weldhitch.decision.routing.RouteTable;
import weldhitch.fleet.locality.LocalityRule;
import weldhitch.fleet.locality.LocalityRules;

/**
 * The routing rules that become active with a route configuration or a route version. Created by {@link Node}; read
 * on the event loop.
 *
 * @param locality the locality rules, or null for none
 */
record RoutingRules(RouteStates routes, LocalityRules locality) {
    /** Returns whether the two sets of rules differ for this request. */
    boolean differsFor(RoutingRules other, ClientRequest request) {
        return routes.decidesDifferently(
                        other.routes,
                        request.requestClass().name(),
                        request.method().name(),
                        request.uri())
                || LocalityRules.differ(locality, localityRule(request), other.locality, other.localityRule(request));
    }

    /** Returns the locality rule of a request, or null if none applies. */
    private LocalityRule localityRule(ClientRequest request) {
        return locality == null
                ? null
                : locality.ruleFor(
                        request.requestClass().name(),
                        Headers.tenant(request),
                        locality.needsRoute() ? routeName(routes.routes(), request) : null);
    }

    /** Returns the name of the route that a request matches, or null if it matches none. */
    static String routeName(RouteTable routes, ClientRequest request) {
        RouteTable.Route route = routes == null
                ? null
                : routes.match(request.requestClass().name(), request.method().name(), request.uri());
        return route == null ? null : route.group();
    }
}
