package weldhitch.client.policy;

/** An output of {@link CallStateMachine}; actions are executed in the order returned. Times are nanoseconds. */
public sealed interface ClientAction {
    /**
     * Sends an attempt to a node.
     *
     * @param attempt the number of the attempt within its call, counted from 0
     * @param remainingTime nanoseconds until the deadline of the call
     * @param sendableTime nanoseconds within which the request has to be written, {@code Long.MAX_VALUE} for no limit;
     *     an attempt that gets its connection later ends as {@link AttemptOutcome#NOT_SENT}
     */
    record SendAttempt(long callId, int attempt, String node, long remainingTime, long sendableTime)
            implements ClientAction {}

    /**
     * Asks a node which servers discard repeats of a request class; at most one query of a class is in flight. It ends
     * with one {@link ClientEvent.ScopeQueryEnded}.
     *
     * @param timeout nanoseconds after which the query is abandoned and counts as a transport error
     */
    record QueryScope(String node, String requestClass, long timeout) implements ClientAction {}

    /** Abandons an attempt whose outcome is no longer needed. */
    record CancelAttempt(long callId, int attempt) implements ClientAction {}

    /**
     * Completes a call; returned once for each call.
     *
     * @param attempts the number of attempts sent
     * @param retryAfter nanoseconds after which a new call may succeed; 0 for no advice
     */
    record CompleteCall(long callId, CallResult result, int attempts, long retryAfter) implements ClientAction {}

    /**
     * Requests a {@link ClientEvent.TimerFired} at this time; replaces the timer scheduled before, which was later.
     */
    record ScheduleTimer(long at) implements ClientAction {}
}
