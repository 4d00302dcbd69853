package weldhitch.decision.endpoint;

/** The outcome of one attempt. */
public enum AttemptOutcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true);

    /** Whether this outcome proves that the endpoint did not execute the request. */
    public final boolean notExecuted;

    AttemptOutcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }
}
