package weldhitch.client.policy;

/** How one try ended. */
public enum Outcome {
    /** A 200, whole. */
    ANSWERED(false),
    /** A 429 or 503: the node says that it never ran. */
    REFUSED(true),
    /** Any other status, which says nothing of its effect. */
    FAILED(false),
    /** Not wholly written, or the connection was never up. */
    NOT_SENT(true),
    /** Wholly written to a connection that had been idle and that ended without a byte. */
    LOST(false),
    /** Reset, cut off, spoilt, or nothing in time. */
    BROKEN(false);

    /** Whether this proves that the try never ran. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
