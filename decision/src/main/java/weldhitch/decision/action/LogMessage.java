package weldhitch.decision.action;

/** A log line for the operators on call. */
public record LogMessage(String text) implements BalancerAction {}
