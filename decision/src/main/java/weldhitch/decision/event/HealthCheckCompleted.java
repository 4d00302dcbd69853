package weldhitch.decision.event;

import weldhitch.decision.endpoint.AttemptOutcome;

/** A health check was answered, or failed; {@code latency} in nanoseconds. */
public record HealthCheckCompleted(String endpointId, AttemptOutcome outcome, long latency, double[] loadReport)
        implements BalancerEvent {}
