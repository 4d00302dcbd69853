package weldhitch.client.policy;

import java.util.List;

/** An input of {@link CallStateMachine}. Times are nanoseconds. */
public sealed interface ClientEvent {
    /**
     * Starts a call.
     *
     * @param deadline the time of the deadline in nanoseconds, not a duration
     */
    record CallStarted(long callId, String requestClass, Idempotency idempotency, long deadline)
            implements ClientEvent {}

    /**
     * Reports that an attempt has ended; not sent for a cancelled attempt.
     *
     * @param retryAfter the wait that a rejection requests, in nanoseconds; 0 for none
     */
    record AttemptEnded(long callId, int attempt, AttemptOutcome outcome, long retryAfter) implements ClientEvent {}

    /** Reports that the caller has cancelled its call. */
    record CallCancelled(long callId) implements ClientEvent {}

    /** Reports that the time requested by {@link ClientAction.ScheduleTimer} has been reached. */
    record TimerFired() implements ClientEvent {}

    /** Reports that the last connection to a node was closed unannounced, with no attempt on it. */
    record ConnectionLost(String node) implements ClientEvent {}

    /** Replaces the list of nodes. */
    record NodesChanged(List<String> addresses) implements ClientEvent {}

    /**
     * Reports that a query for a deduplication scope has ended, after the {@link DeduplicationScopeStated} that its
     * response led to.
     *
     * @param retryAfter the wait that a rejection requests, in nanoseconds; 0 for none
     */
    record ScopeQueryEnded(String requestClass, AttemptOutcome outcome, long retryAfter) implements ClientEvent {}

    /** Reports which servers discard repeats of a request class, as a node has stated. */
    record DeduplicationScopeStated(String node, String requestClass, StatedDeduplicationScope scope)
            implements ClientEvent {}
}
