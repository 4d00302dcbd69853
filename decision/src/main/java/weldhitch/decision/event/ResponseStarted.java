package weldhitch.decision.event;

/** The answer of a streamed request has started; {@code latency} in nanoseconds. */
public record ResponseStarted(String requestId, int attempt, String endpointId, long latency)
        implements BalancerEvent {}
