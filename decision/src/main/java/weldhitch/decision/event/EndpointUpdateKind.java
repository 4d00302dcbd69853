package weldhitch.decision.event;

/**
 * The content of an endpoint update: changed entries, the full list, a cached list, or nothing because the
 * subscription was rejected.
 */
public enum EndpointUpdateKind {
    DELTA,
    FULL,
    CACHED,
    REJECTED
}
