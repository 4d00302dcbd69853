package weldhitch.decision.endpoint;

/** One entry of an endpoint list. A {@code startedAt} of 0 means that the endpoint started long ago. */
public record EndpointEntry(
        String endpointId, String zone, long cell, EndpointState state, double weight, long startedAt) {}
