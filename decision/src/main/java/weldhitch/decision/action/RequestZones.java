package weldhitch.decision.action;

import weldhitch.decision.event.ZonesAssigned;

/**
 * Asks for further zones because the request has tried all endpoints of its allowed zones. The request waits for the
 * {@link ZonesAssigned} event, and the balancer repeats the action until the event arrives.
 */
public record RequestZones(String requestId) implements BalancerAction {}
