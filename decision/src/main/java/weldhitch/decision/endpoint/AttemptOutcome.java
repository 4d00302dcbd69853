package weldhitch.decision.endpoint;

/** How one attempt ended. */
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

    AttemptOutcome(boolean neverRan) {
        this.notExecuted = neverRan;
    }
}
