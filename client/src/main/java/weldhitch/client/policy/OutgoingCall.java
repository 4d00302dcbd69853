package weldhitch.client.policy;

/** The mutable state of one call until it ends; belongs to {@link CallStateMachine}. Times are nanoseconds. */
final class OutgoingCall {
    final long id;
    final String requestClass;
    final Idempotency idempotency;
    final long deadline;
    int attempts;
    /** Number of queries for the deduplication scope that were sent for this call. */
    int scopeQueries;
    /** The node of the attempt in flight; null if there is none. */
    NodeState currentNode;
    /** The node of the last attempt that ended; null before the first has. */
    NodeState previousNode;

    long sentAt;
    /**
     * Time at which the first attempt that may have been executed was sent; meaningless while
     * {@code possiblyExecuted} is false.
     */
    long possiblyExecutedSince;

    boolean possiblyExecuted;
    /** Outcome of the last attempt that ended; null before the first has. */
    AttemptOutcome lastOutcome;
    /** Time of the next attempt; 0 to send it as soon as a node is available and has capacity. */
    long resumeAt;

    long backoff;
    /** Whether the call has been recorded in the retry budget; its first attempt takes no retry token. */
    boolean recordedInRetryBudget;

    boolean unbudgetedRetryUsed;

    OutgoingCall(long id, String requestClass, Idempotency idempotency, long deadline) {
        this.id = id;
        this.requestClass = requestClass;
        this.idempotency = idempotency;
        this.deadline = deadline;
    }
}
