package weldhitch.client.policy;

/** Whether a request may be executed more than once. */
public enum Effect {
    /** Idempotent: may be executed any number of times. */
    SAFE,
    /** Carries an idempotency key, by which servers discard repeats within the deduplication window. */
    KEYED,
    /** Must never be executed twice. */
    UNSAFE
}
