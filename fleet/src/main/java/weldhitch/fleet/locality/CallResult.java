package weldhitch.fleet.locality;

/** The result of an attempt, as far as it indicates the health of the endpoint's zone. */
public enum CallResult {
    /** The endpoint answered, even if with an application error. */
    ANSWERED,
    /** The endpoint rejected the attempt for lack of capacity. */
    REJECTED,
    /** There was no answer, or the connection could not be established or broke. */
    FAILED
}
