package weldhitch.decision.action;

/** Cancels an attempt. */
public record CancelAttempt(String requestId, int attempt) implements BalancerAction {}
