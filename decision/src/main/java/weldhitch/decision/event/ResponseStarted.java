package weldhitch.decision.event;

/** Reports that the answer of a streamed request has started; {@code latency} is in nanoseconds. */
public record ResponseStarted(String requestId, int attempt, String endpointId, long latency)
        implements BalancerEvent {}
