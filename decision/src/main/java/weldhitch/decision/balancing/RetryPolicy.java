package weldhitch.decision.balancing;

import java.util.Optional;
import weldhitch.decision.balancing.DecisionListener.DecisionReason;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.Idempotency;

/**
 * The rules for further attempts: whether one may be sent, after which delay, and which tokens it costs. Enforces the
 * invariant that no request is executed twice unless it is idempotent or its repeats are discarded. Called by
 * {@link RatioBalancer} and {@link RequestDispatcher} on the balancer's thread; not thread-safe.
 */
final class RetryPolicy {
    /** Hedge delay that means that no hedged request is sent. */
    static final long NO_HEDGE = 0;
    /** Timeout that means that the attempt is never abandoned. */
    private static final long NO_TIMEOUT = 0;
    /** Number of retry tokens that each request earns. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    /** Maximum number of times that the backoff doubles. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final DecisionContext context;
    private final BalancerSettings settings;
    private final BalancerState state;

    RetryPolicy(DecisionContext context) {
        this.context = context;
        this.settings = context.settings;
        this.state = context.state;
    }

    /** Adds the fraction of a retry token that an arriving request earns. */
    void recordArrival() {
        state.retryTokens = Math.min(BalancerState.MAX_RETRY_TOKENS, state.retryTokens + RETRY_TOKENS_PER_REQUEST);
    }

    /** Gives back the token that was taken in advance for an attempt's retry. Called once the attempt has ended. */
    void returnReservedToken(AttemptState attempt) {
        if (attempt.retryTokenReserved) {
            attempt.retryTokenReserved = false;
            state.retryTokens = Math.min(BalancerState.MAX_RETRY_TOKENS, state.retryTokens + 1);
        }
    }

    /** Returns the reason why no retry may follow this outcome, or empty if one may. */
    Optional<DecisionReason> retryBlocker(RequestState request, AttemptOutcome outcome) {
        return request.route == null || request.route.retriesOn(outcome)
                ? retryBlocker(request)
                : Optional.of(DecisionReason.OUTCOME_NOT_RETRYABLE);
    }

    /** Returns the reason why no further attempt may be sent now, or empty if one may. */
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
     * Takes the token for a further attempt, and returns whether one was available. The retry budget of a route is
     * charged for each further attempt. The node's retry tokens are charged only if the last attempt may have been
     * executed.
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
     * Returns the time in nanoseconds after which the attempt that was just sent may be followed by another one, as a
     * hedged request or after abandoning it; {@link #NO_HEDGE} for never.
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
     * Returns the timeout in nanoseconds of an attempt that is sent now; 0 for none.
     *
     * @param hedgeDelay the delay that {@link #hedgeDelay} returned
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
     * Returns the time in nanoseconds after which an attempt is abandoned for a retry, where hedging is not allowed; 0
     * for never. The retry token is taken in advance. Otherwise an attempt that may still be answered could be
     * abandoned with no token left for its retry, which would lose the request.
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

    /**
     * Returns the backoff in nanoseconds before the next attempt if the route defines none. It doubles with each
     * attempt. Draws one random number.
     */
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
