package weldhitch.decision.balancing;

import java.util.Optional;
import weldhitch.decision.balancing.DecisionListener.DecisionReason;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.Idempotency;

/**
 * The rules of further attempts: whether one may be sent, after which time and backoff, and the tokens that it costs.
 * Guards the invariant that no request is executed twice unless it is idempotent or its repeats are discarded. Called
 * by {@link RatioBalancer} and {@link RequestDispatcher} on the balancer's thread; not thread-safe.
 */
final class RetryPolicy {
    /** The delay of a hedged request that is never sent. */
    static final long NO_HEDGE = 0;
    /** The timeout of an attempt that is never abandoned. */
    private static final long NO_TIMEOUT = 0;
    /** Retry tokens that each request earns. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    /** The backoff doubles at most this many times. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final DecisionContext context;
    private final BalancerSettings settings;
    private final BalancerState state;

    RetryPolicy(DecisionContext context) {
        this.context = context;
        this.settings = context.settings;
        this.state = context.state;
    }

    /** A request arrived: it earns a part of a retry token. */
    void recordArrival() {
        state.retryTokens = Math.min(BalancerState.MAX_RETRY_TOKENS, state.retryTokens + RETRY_TOKENS_PER_REQUEST);
    }

    /** An attempt ended: the token that was taken in advance for its retry is available to it again. */
    void returnReservedToken(AttemptState attempt) {
        if (attempt.retryTokenReserved) {
            attempt.retryTokenReserved = false;
            state.retryTokens = Math.min(BalancerState.MAX_RETRY_TOKENS, state.retryTokens + 1);
        }
    }

    /** Returns why no retry may follow this outcome; empty if one may. */
    Optional<DecisionReason> retryBlocker(RequestState request, AttemptOutcome outcome) {
        return request.route == null || request.route.retriesOn(outcome)
                ? retryBlocker(request)
                : Optional.of(DecisionReason.OUTCOME_NOT_RETRYABLE);
    }

    /** Returns why no further attempt may be sent now; empty if one may. */
    Optional<DecisionReason> retryBlocker(RequestState request) {
        if (request.finished || context.deadlineReached(request)) {
            return Optional.of(DecisionReason.DEADLINE_EXCEEDED);
        }
        if (request.attempts.size() >= maxAttempts(request)
                || request.outstandingCount > 0 && !settings.limits().hedgingAllowed()) {
            return Optional.of(DecisionReason.MAX_ATTEMPTS_REACHED);
        }
        return switch (request.classModel.requestClass.idempotency()) {
            case IDEMPOTENT -> Optional.empty();
            case NON_IDEMPOTENT ->
                request.firstPossiblyExecuted == null
                        ? Optional.empty()
                        : Optional.of(DecisionReason.POSSIBLY_EXECUTED);
            case IDEMPOTENCY_KEY ->
                request.firstPossiblyExecuted == null || inDeduplicationWindow(request)
                        ? Optional.empty()
                        : Optional.of(DecisionReason.DEDUPLICATION_WINDOW_EXPIRED);
        };
    }

    private boolean inDeduplicationWindow(RequestState request) {
        return context.now() + settings.clockResolution()
                < request.firstPossiblyExecuted.sentAt + request.classModel.requestClass.deduplicationWindow();
    }

    /**
     * Takes the token for a further attempt. A route's own retry budget is charged for each one, the node's
     * retry tokens only if the last attempt may have been executed.
     */
    boolean takeRetryToken(RequestState request, boolean notExecuted) {
        if (request.route != null && request.route.hasRetryBudget()) {
            return request.route.takeRetry(context.now());
        }
        if (notExecuted) {
            return true;
        }
        if (state.retryTokens < 1) {
            return false;
        }
        state.retryTokens--;
        return true;
    }

    /**
     * Returns the time after which a further attempt may follow the one that was just sent, by hedging or by
     * abandoning it; {@link #NO_HEDGE} for never.
     */
    long hedgeDelay(RequestState request) {
        long defaultHedgeDelay = request.hedgeDelay();
        long hedgeDelay = settings.limits().hedgingAllowed()
                        && request.route != null
                        && request.classModel.requestClass.idempotency() == Idempotency.IDEMPOTENT
                ? request.route.hedgeDelay(defaultHedgeDelay)
                : defaultHedgeDelay;
        boolean retryable = request.classModel.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT
                && request.attempts.size() < maxAttempts(request)
                && hedgeDelay > 0
                && context.now() + hedgeDelay < request.deadline;
        return retryable ? hedgeDelay : NO_HEDGE;
    }

    /**
     * Returns the timeout of an attempt that is sent now; 0 if nothing limits it.
     *
     * @param hedgeDelay the delay by {@link #hedgeDelay}
     */
    long attemptTimeout(RequestState request, AttemptState attempt, long hedgeDelay) {
        long timeout = hedgeDelay != NO_HEDGE && !settings.limits().hedgingAllowed()
                ? timeoutBeforeRetry(request, attempt)
                : NO_TIMEOUT;
        return request.route == null
                ? timeout
                : request.route.attemptTimeout(timeout, request.deadline - context.now());
    }

    /**
     * Returns the time after which an attempt is abandoned for a retry, where hedging is not allowed; 0 for
     * never. The retry token is taken in advance: abandoning an attempt that may still be answered, and then
     * having no token for the retry, would lose the request.
     */
    private long timeoutBeforeRetry(RequestState request, AttemptState attempt) {
        long timeout = request.classModel.attemptTimeout(request.cost);
        if (context.now() + timeout >= request.deadline) {
            return NO_TIMEOUT;
        }
        if (request.route == null || !request.route.hasRetryBudget()) {
            if (state.retryTokens < 1) {
                return NO_TIMEOUT;
            }
            state.retryTokens--;
            attempt.retryTokenReserved = true;
        }
        return timeout;
    }

    /** Returns the node's own backoff before the next attempt, which doubles with each one; draws once. */
    long drawBackoff(RequestState request) {
        double backoff =
                request.expectedLatency() / 4 * (1 << Math.min(request.attempts.size() - 2, MAX_BACKOFF_DOUBLINGS));
        return (long) (backoff * (0.5 + state.random.nextDouble()));
    }

    private int maxAttempts(RequestState request) {
        int allowed = settings.limits().maxAttempts();
        return request.route == null ? allowed : request.route.maxAttempts(allowed);
    }
}
