package weldhitch.decision.balancing;

import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.PlatformLimits;
import weldhitch.decision.settings.RequestClass;

/**
 * Ends requests. Each gets one final response. A request is rejected only if it was not executed or if repeating it
 * does no harm. Called by {@link RatioBalancer} and its other collaborators on the balancer's thread; not thread-safe.
 */
final class RequestCompletion {
    private final DecisionContext context;
    private final BalancerSettings settings;
    private final BalancerState state;

    RequestCompletion(DecisionContext context) {
        this.context = context;
        this.settings = context.settings;
        this.state = context.state;
    }

    /** Ends the request with a final response of the node: a rejection if that is allowed, a failure otherwise. */
    void finish(RequestState request) {
        if (!request.finished) {
            if (mayReject(request)) {
                reject(request, request.queued ? (long) request.expectedLatency() / 2 : 0);
            } else {
                context.emit(
                        new FailRequest(request.id, request.deadlineShortened && context.deadlineReached(request)));
                close(request);
            }
        }
    }

    /**
     * Rejects the request.
     *
     * @param defaultRetryAfter the Retry-After delay in nanoseconds, before the bounds of the route and the platform
     */
    void reject(RequestState request, long defaultRetryAfter) {
        PlatformLimits limits = settings.limits();
        long retryAfter = request.route == null ? defaultRetryAfter : request.route.retryAfter(defaultRetryAfter);
        context.emit(new RejectRequest(
                request.id, limits.retryAfterAllowed() ? Math.min(limits.maxRetryAfter(), retryAfter) : 0));
        close(request);
    }

    /** Closes the request: no further attempts are sent; those in flight are cancelled if allowed, and awaited. */
    void close(RequestState request) {
        if (!request.finished) {
            request.finished = true;
            if (request.admitted) {
                state.admissionLimit.release();
            } else if (request.queued) {
                state.admissionQueue.remove(request);
            }
            for (AttemptState attempt : request.attempts) {
                if (!attempt.ended && !attempt.streaming && settings.limits().cancellationAllowed()) {
                    context.emit(new CancelAttempt(request.id, attempt.number));
                }
            }
        }
        if (request.outstandingCount == 0) {
            state.requests.remove(request.id);
        }
    }

    /** Returns whether the request may be rejected: it was not executed, or repeating it does no harm. */
    private static boolean mayReject(RequestState request) {
        RequestClass requestClass = request.classModel.requestClass;
        return request.firstPossiblyExecuted == null
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
