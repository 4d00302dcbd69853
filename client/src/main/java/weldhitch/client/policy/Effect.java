package weldhitch.client.policy;

/** What repeating a request may do. */
public enum Effect {
    /** May run any number of times. */
    SAFE,
    /** Carries a key by which servers drop repeats for a while. */
    KEYED,
    /** Must never run twice. */
    UNSAFE
}
