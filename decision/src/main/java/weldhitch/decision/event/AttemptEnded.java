package weldhitch.decision.event;

import weldhitch.decision.endpoint.AttemptOutcome;

/**
 * Reports that an attempt has ended.
 *
 * @param latency the attempt's latency in nanoseconds
 * @param requestFinished whether the request has its final answer
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
