package weldhitch.decision.balancing;

import java.util.Optional;
import java.util.Set;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.balancing.DecisionListener.DecisionReason;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.event.ZonesAssigned;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;

/**
 * Decides when an attempt of an admitted request is sent: the first one, retries (the failover of Küting et al.,
 * section 3.4) and hedged requests. Holds a request that no endpoint can take now, and ends it when no further attempt
 * is possible. Called by {@link RatioBalancer} on its thread; not thread-safe.
 */
final class RequestDispatcher {
    /** Picks an endpoint and sends an attempt. */
    interface AttemptSender {
        /** Sends the request's next attempt; returns false if no endpoint can take it now. */
        boolean sendAttempt(RequestState request);
    }

    /** Time in nanoseconds after which a request that no endpoint can take is dispatched again. */
    private static final long HOLD_INTERVAL = 20_000_000L;

    private final DecisionContext context;
    private final WeightedEndpointPicker picker;
    private final RetryPolicy retryPolicy;
    private final RequestCompletion completion;
    private final AttemptSender sender;

    RequestDispatcher(
            DecisionContext context,
            WeightedEndpointPicker picker,
            RetryPolicy retryPolicy,
            RequestCompletion completion,
            AttemptSender sender) {
        this.context = context;
        this.picker = picker;
        this.retryPolicy = retryPolicy;
        this.completion = completion;
        this.sender = sender;
    }

    /**
     * Sends an attempt, holds the request if no endpoint can take it now, or ends it at its deadline. A request that is
     * restricted to zones, and has attempted all endpoints there that can take it, is held while it requests further
     * zones.
     */
    void dispatch(RequestState request) {
        if (context.deadlineReached(request)) {
            exceedDeadline(request);
        } else if (needsFurtherZones(request)) {
            context.notifyListener(request, DecisionReason.REQUESTING_ZONES);
            context.emit(new RequestZones(request.id));
            hold(request);
        } else {
            sendOrHold(request);
        }
    }

    /** Dispatches the request like {@link #dispatch}, but without requesting further zones. */
    private void dispatchWithinZones(RequestState request) {
        if (context.deadlineReached(request)) {
            exceedDeadline(request);
        } else {
            sendOrHold(request);
        }
    }

    private void exceedDeadline(RequestState request) {
        context.notifyListener(request, DecisionReason.DEADLINE_EXCEEDED);
        completion.finish(request);
    }

    private void sendOrHold(RequestState request) {
        if (!sender.sendAttempt(request)) {
            context.notifyListener(request, DecisionReason.NO_ENDPOINT_AVAILABLE);
            hold(request);
        }
    }

    private void hold(RequestState request) {
        context.scheduleWakeUp(request, Math.min(context.latestAnswerTime(request), context.now() + HOLD_INTERVAL));
    }

    private boolean needsFurtherZones(RequestState request) {
        return request.allowedZones != null
                && !boundToDeduplicationScope(request)
                && !picker.hasUnattempted(request, context.now());
    }

    /**
     * Returns whether repeats of the request are discarded only by endpoints of the zone, or cell, where it may have
     * been executed.
     */
    private static boolean boundToDeduplicationScope(RequestState request) {
        return request.firstPossiblyExecuted != null
                && request.classModel.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && request.classModel.requestClass.deduplicationScope() != DeduplicationScope.ALL;
    }

    /** Dispatches a request within the zones assigned to it, without requesting more, or ends it if there are none. */
    void onZonesAssigned(ZonesAssigned assigned) {
        RequestState request = context.state.requests.get(assigned.requestId());
        if (request == null
                || request.finished
                || request.queued
                || request.outstandingCount > 0
                || request.allowedZones == null
                || boundToDeduplicationScope(request)
                || !request.attempts.isEmpty()
                        && retryPolicy.retryBlocker(request).isPresent()) {
            return;
        }
        request.allowedZones = Set.copyOf(assigned.zones());
        if (request.allowedZones.isEmpty()) {
            context.notifyListener(request, DecisionReason.NO_ALLOWED_ZONE);
            completion.finish(request);
        } else {
            dispatchWithinZones(request);
        }
    }

    /** Retries after an ended attempt (failover, section 3.4), at once or after a backoff, or ends the request. */
    void retryOrFinish(RequestState request, AttemptOutcome outcome) {
        Optional<DecisionReason> blocker = retryPolicy.retryBlocker(request, outcome);
        if (request.outstandingCount > 0
                || blocker.isPresent()
                || !retryPolicy.takeRetryToken(request, outcome.notExecuted)) {
            context.notifyListener(request, blocker.orElse(DecisionReason.RETRY_BUDGET_EXHAUSTED));
            completion.finish(request);
            return;
        }
        long now = context.now();
        long routeBackoff = request.route == null
                ? RouteState.NO_BACKOFF
                : request.route.backoff(request.attempts.size(), context.state.random);
        if (routeBackoff >= 0 && now + routeBackoff >= context.latestAnswerTime(request)) {
            context.notifyListener(request, DecisionReason.BACKOFF_EXCEEDS_DEADLINE);
            completion.finish(request);
        } else if (routeBackoff > 0) {
            context.notifyListener(request, DecisionReason.BACKING_OFF);
            context.scheduleWakeUp(request, now + routeBackoff);
        } else if (routeBackoff == 0 || request.attempts.size() < 2) {
            context.notifyListener(request, DecisionReason.RETRIED);
            dispatch(request);
        } else {
            context.notifyListener(request, DecisionReason.BACKING_OFF);
            context.scheduleWakeUp(
                    request, Math.min(context.latestAnswerTime(request), now + retryPolicy.drawBackoff(request)));
        }
    }

    /** Handles the wake-up of a request: the end of its queue timeout, hold, backoff or hedge delay. */
    void onWakeUp(RequestState request) {
        if (request.queued) {
            context.notifyListener(request, DecisionReason.QUEUE_TIMEOUT);
            completion.finish(request);
            return;
        }
        Optional<DecisionReason> blocker =
                request.attempts.isEmpty() ? Optional.empty() : retryPolicy.retryBlocker(request);
        if (request.outstandingCount > 0) {
            hedge(request, blocker.isEmpty());
        } else if (blocker.isEmpty()) {
            dispatch(request);
        } else {
            // The deduplication window may have expired during the backoff.
            context.notifyListener(request, blocker.get());
            completion.finish(request);
        }
    }

    private void hedge(RequestState request, boolean allowed) {
        AttemptState lastAttempt = request.attempts.get(request.attempts.size() - 1);
        // The route's hedge delay may be much shorter than that of the class; only the latter makes an attempt overdue.
        lastAttempt.exceededHedgeDelay =
                request.route == null || context.now() - lastAttempt.sentAt >= request.hedgeDelay();
        if (allowed && retryPolicy.takeRetryToken(request, false)) {
            context.notifyListener(request, DecisionReason.HEDGED);
            dispatchWithinZones(request);
        }
    }
}
