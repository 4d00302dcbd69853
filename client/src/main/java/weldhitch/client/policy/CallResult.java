package weldhitch.client.policy;

/** The result of a call. */
public enum CallResult {
    /** A node answered with success. */
    SUCCEEDED,
    /** Rejected by nodes: it was not executed, so that repeating the call is safe. */
    REJECTED,
    /** Rejected by the client itself, because its nodes reject most of its requests: it was not executed. */
    THROTTLED,
    /** No node could be reached: it was not executed. */
    UNREACHABLE,
    /** The deadline is too close or has passed, and the request was not executed. */
    DEADLINE_EXCEEDED,
    /** An idempotent call without a successful response. */
    FAILED,
    /** May have been executed, or may still be executed: neither a failure nor a success. */
    OUTCOME_UNKNOWN,
    /** Cancelled by its caller. */
    CANCELLED
}
