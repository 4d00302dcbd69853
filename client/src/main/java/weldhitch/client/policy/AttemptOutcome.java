package weldhitch.client.policy;

/** The outcome of one attempt. */
public enum AttemptOutcome {
    /** A complete response with status 200. */
    OK(false),
    /** Status 429 or 503: the node states that the request was not executed. */
    REJECTED(true),
    /** Any other status, from which it is unknown whether the request was executed. */
    ERROR_RESPONSE(false),
    /** Not completely written, or no connection was established. */
    NOT_SENT(true),
    /** Completely written to a reused connection, which was then closed without a response byte. */
    STALE_CONNECTION(false),
    /** Connection reset or closed, response malformed, or no response in time. */
    TRANSPORT_ERROR(false);

    /** Whether this outcome proves that the attempt was not executed. */
    public final boolean notExecuted;

    AttemptOutcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }
}
