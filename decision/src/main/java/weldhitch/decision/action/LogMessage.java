package weldhitch.decision.action;

/** Writes a log line for the operators on call. */
public record LogMessage(String text) implements BalancerAction {}
