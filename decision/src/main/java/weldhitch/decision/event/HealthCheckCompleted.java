package weldhitch.decision.event;

import weldhitch.decision.endpoint.AttemptOutcome;

/** Reports that a health check was answered or failed; {@code latency} is in nanoseconds. */
public record HealthCheckCompleted(String endpointId, AttemptOutcome outcome, long latency, double[] loadReport)
        implements BalancerEvent {}
