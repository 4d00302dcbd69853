package weldhitch.decision.settings;

/** The set of endpoints that discard each other's repeats of a request with an idempotency key. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
