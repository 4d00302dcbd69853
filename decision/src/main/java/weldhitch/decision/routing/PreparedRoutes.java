package weldhitch.decision.routing;

/**
 * The state of routes, prepared on another thread ahead of their activation, so that the time a balancer needs
 * to activate them does not grow with their number. Opaque to all but the balancer.
 */
public interface PreparedRoutes {}
