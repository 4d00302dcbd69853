package weldhitch.client.policy;

/** How one attempt ended. */
public enum Outcome {
    /** A complete response with status 200. */
    ANSWERED(false),
    /** Status 429 or 503: the node states that the request was not executed. */
    REFUSED(true),
    /** Any other status, which says nothing about execution. */
    FAILED(false),
    /** Not completely written, or no connection was established. */
    NOT_SENT(true),
    /** Completely written to a reused connection, which was then closed without a response byte. */
    LOST(false),
    /** Connection reset or closed, response malformed, or no response in time. */
    BROKEN(false);

    /** Whether this outcome proves that the attempt was not executed. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
