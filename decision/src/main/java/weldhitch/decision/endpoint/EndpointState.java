package weldhitch.decision.endpoint;

/** The state of an endpoint in the endpoint list. */
public enum EndpointState {
    READY,
    DRAINING,
    REMOVED
}
