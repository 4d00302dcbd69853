package weldhitch.decision.routing;

/**
 * State of routes that is prepared on another thread before the routes are activated, so that the time a balancer needs
 * for the activation does not grow with their number. Only the balancer accesses its content.
 */
public interface PreparedRoutes {}
