package weldhitch.decision.event;

/** The client disconnected, or its request ended for another reason. */
public record ClientDisconnected(String requestId) implements BalancerEvent {}
