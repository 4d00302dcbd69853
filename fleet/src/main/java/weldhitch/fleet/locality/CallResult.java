package weldhitch.fleet.locality;

/** How an attempt ended, as far as it says something about its zone. */
public enum CallResult {
    /** Answered, even with an application error. */
    ANSWERED,
    /** Rejected for lack of capacity. */
    REJECTED,
    /** No answer, or a connection that could not be made or broke. */
    FAILED
}
