package weldhitch.client.policy;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Idempotent: may be executed any number of times. */
    IDEMPOTENT,
    /** Carries an idempotency key, by which servers discard repeats within the deduplication window. */
    IDEMPOTENCY_KEY,
    /** Must never be executed twice. */
    NON_IDEMPOTENT
}
