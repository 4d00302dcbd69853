package weldhitch.client.policy;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether a call may be sent again without being executed twice, and how long it waits before. Belongs to
 * {@link CallStateMachine}, single-threaded.
 */
final class RetryRules {
    /** The factor by which a backoff may exceed the one before (decorrelated jitter). */
    private static final int MAX_BACKOFF_GROWTH = 3;

    private final ClientPolicy policy;
    private final DeduplicationScopes deduplicationScopes;
    private final UniformRandomProvider random;

    RetryRules(ClientPolicy policy, DeduplicationScopes deduplicationScopes, UniformRandomProvider random) {
        this.policy = policy;
        this.deduplicationScopes = deduplicationScopes;
        this.random = random;
    }

    /**
     * Returns whether an attempt at this time is harmless even if an earlier attempt was executed. Checked when a retry
     * is planned and again when it is sent, because the deduplication window may end, and a node may state another
     * scope, while the call waits.
     */
    boolean mayBeSent(OutgoingCall call, long time) {
        if (!call.possiblyExecuted) {
            return true;
        }
        return switch (call.idempotency) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case IDEMPOTENCY_KEY ->
                deduplicationScopes.coversAllServers(call.requestClass) && remainingWindow(call, time) > 0;
        };
    }

    /**
     * Returns whether an attempt at this time may be planned: it may be sent as far as is known now, or depends on a
     * deduplication scope that a node has yet to state.
     */
    boolean mayBePlanned(OutgoingCall call, long time) {
        return mayBeSent(call, time)
                || call.idempotency == Idempotency.IDEMPOTENCY_KEY
                        && remainingWindow(call, time) > 0
                        && deduplicationScopes.mayBecomeKnown(call.requestClass);
    }

    /**
     * Returns the nanoseconds for which an attempt that may be sent at this time may still be sent;
     * {@code Long.MAX_VALUE} if that does not end.
     */
    long sendableTime(OutgoingCall call, long time) {
        return call.possiblyExecuted && call.idempotency == Idempotency.IDEMPOTENCY_KEY
                ? remainingWindow(call, time)
                : Long.MAX_VALUE;
    }

    /** Returns the nanoseconds for which servers still discard a repeat of a call that may have been executed. */
    long remainingWindow(OutgoingCall call, long time) {
        return policy.deduplicationWindow() - (time - call.possiblyExecutedSince);
    }

    /** Draws the backoff in nanoseconds after this one; 0 for the first. */
    long nextBackoff(long previousBackoff) {
        long lowerBound = policy.initialBackoff();
        long upperBound = Math.max(lowerBound, MAX_BACKOFF_GROWTH * previousBackoff);
        return (long) Math.min(policy.maxBackoff(), lowerBound + random.nextDouble() * (upperBound - lowerBound));
    }
}
