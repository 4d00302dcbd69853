package weldhitch.decision.settings;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Idempotent: may be executed any number of times. */
    IDEMPOTENT,
    /** Carries an idempotency key: the endpoints of one deduplication scope discard repeats for a while. */
    IDEMPOTENCY_KEY,
    /** Not idempotent: must not be executed twice. */
    NON_IDEMPOTENT
}
