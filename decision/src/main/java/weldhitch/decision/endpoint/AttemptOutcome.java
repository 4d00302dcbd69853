package weldhitch.decision.endpoint;

/** The outcome of one attempt. */
public enum AttemptOutcome {
    OK(false),
    ERROR(false),
    /** The endpoint rejected the attempt because it was full. */
    FULL(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    /** The attempt was not sent to the endpoint. */
    NOT_SENT(true);

    /** Whether this outcome proves that the endpoint did not execute the request. */
    public final boolean notExecuted;

    AttemptOutcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }
}
