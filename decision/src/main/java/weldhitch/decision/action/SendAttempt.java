package weldhitch.decision.action;

/**
 * Starts an attempt. The attempts of a request are numbered from 0.
 *
 * @param timeout the attempt's timeout in nanoseconds; 0 if the attempt may last until the request's deadline
 */
public record SendAttempt(String requestId, String endpointId, long timeout) implements BalancerAction {}
