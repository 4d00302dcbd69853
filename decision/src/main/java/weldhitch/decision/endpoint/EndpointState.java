package weldhitch.decision.endpoint;

/** An endpoint's state in the endpoint list. */
public enum EndpointState {
    READY,
    DRAINING,
    REMOVED
}
