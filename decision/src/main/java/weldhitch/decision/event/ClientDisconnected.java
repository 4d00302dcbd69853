package weldhitch.decision.event;

/** Reports that the client disconnected, or that its request ended for another reason. */
public record ClientDisconnected(String requestId) implements BalancerEvent {}
