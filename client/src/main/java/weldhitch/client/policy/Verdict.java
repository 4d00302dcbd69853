package weldhitch.client.policy;

/** How a call ended. */
public enum Verdict {
    SERVED,
    /** Turned away by nodes: it never ran, and asking again later does no harm. */
    REFUSED,
    /** Kept back by the client itself, as its nodes turn away most of what it asks: it was never sent. */
    THROTTLED,
    /** No node could be reached: it never ran. */
    UNREACHABLE,
    /** There is no time for it any more, and it never ran. */
    TOO_LATE,
    /** A safe call without an answer. */
    FAILED,
    /** It may have run, and may yet: neither a failure nor a success. */
    OUTCOME_UNKNOWN,
    /** Its caller has called it off. */
    CANCELLED
}
