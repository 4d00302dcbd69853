package weldhitch.decision.endpoint;

/** One entry of an endpoint list; {@code startedAt} 0 means long ago. */
public record EndpointEntry(
        String endpointId, String zone, long cell, EndpointState state, double weight, long startedAt) {}
