package weldhitch.decision.endpoint;

/** An entry of an endpoint list. {@code startedAt} is in nanoseconds; 0 means that the endpoint started long ago. */
public record EndpointEntry(
        String endpointId, String zone, long cell, EndpointState state, double weight, long startedAt) {}
