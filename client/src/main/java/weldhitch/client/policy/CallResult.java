package weldhitch.client.policy;

/** How a call ended. */
public enum CallResult {
    /** A node answered with success. */
    SUCCEEDED,
    /** Rejected by nodes: it was not executed, and a later call does no harm. */
    REJECTED,
    /** Rejected by the client itself, as its nodes reject most of its requests: it was not executed. */
    THROTTLED,
    /** No node could be reached: it was not executed. */
    UNREACHABLE,
    /** Its deadline is too close or has passed, and it was not executed. */
    DEADLINE_EXCEEDED,
    /** An idempotent call without a response. */
    FAILED,
    /** It may have been executed, or may be yet: neither a failure nor a success. */
    OUTCOME_UNKNOWN,
    /** Its caller has cancelled it. */
    CANCELLED
}
