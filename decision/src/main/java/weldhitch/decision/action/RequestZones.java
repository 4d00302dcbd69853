package weldhitch.decision.action;

import weldhitch.decision.event.ZonesAssigned;

/**
 * Requests a {@link ZonesAssigned}, as the request has tried all endpoints of its allowed zones. Until one
 * arrives, the request waits and asks again.
 */
public record RequestZones(String requestId) implements BalancerAction {}
