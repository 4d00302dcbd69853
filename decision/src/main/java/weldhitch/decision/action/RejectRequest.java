package weldhitch.decision.action;

/**
 * Rejects a request. It is known not to have been executed, so the client may safely retry it.
 *
 * @param retryAfter the Retry-After advice in nanoseconds, 0 for none
 */
public record RejectRequest(String requestId, long retryAfter) implements BalancerAction {}
