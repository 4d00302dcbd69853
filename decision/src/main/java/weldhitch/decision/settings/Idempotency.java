package weldhitch.decision.settings;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Idempotent: may be executed any number of times. */
    IDEMPOTENT,
    /** Has an idempotency key: the endpoints of one deduplication scope discard repeats during a limited time. */
    IDEMPOTENCY_KEY,
    /** Not idempotent: must not be executed twice. */
    NON_IDEMPOTENT
}
