package weldhitch.decision.action;

/**
 * Starts an attempt; attempts of a request are numbered from 0. A timeout of 0 lasts until the deadline.
 */
public record SendAttempt(String requestId, String endpointId, long timeout) implements BalancerAction {}
