package weldhitch.decision.action;

/** Subscribes to endpoint updates of discovery. */
public record SubscribeToEndpoints() implements BalancerAction {}
