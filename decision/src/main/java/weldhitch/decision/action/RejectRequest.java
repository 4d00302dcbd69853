package weldhitch.decision.action;

/** Final answer: not executed, a retry does no harm; {@code retryAfter} in nanoseconds, 0 for no advice. */
public record RejectRequest(String requestId, long retryAfter) implements BalancerAction {}
