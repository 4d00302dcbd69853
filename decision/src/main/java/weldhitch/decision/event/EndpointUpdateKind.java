package weldhitch.decision.event;

/**
 * What an endpoint update carries: changed entries, the full list, a cached list, or nothing as it was
 * rejected.
 */
public enum EndpointUpdateKind {
    DELTA,
    FULL,
    CACHED,
    REJECTED
}
