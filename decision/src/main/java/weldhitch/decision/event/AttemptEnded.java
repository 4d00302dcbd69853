package weldhitch.decision.event;

import weldhitch.decision.endpoint.AttemptOutcome;

/**
 * An attempt has ended; {@code requestFinished}: the request has its final answer; {@code latency} in
 * nanoseconds.
 */
public record AttemptEnded(
        String requestId,
        int attempt,
        String endpointId,
        AttemptOutcome outcome,
        long latency,
        boolean requestFinished,
        double[] loadReport)
        implements BalancerEvent {}
