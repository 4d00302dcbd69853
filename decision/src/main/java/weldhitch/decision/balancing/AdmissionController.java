package weldhitch.decision.balancing;

import java.util.function.Consumer;
import weldhitch.decision.balancing.DecisionListener.DecisionReason;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.settings.BalancerSettings;

/**
 * Admits requests up to the {@link AdaptiveConcurrencyLimit} and queues the rest by priority. Called by
 * {@link RatioBalancer} on its thread; not thread-safe.
 */
final class AdmissionController {
    private final DecisionContext context;
    private final BalancerSettings settings;
    private final BalancerState state;
    /** Sends the first attempt of an admitted request. */
    private final Consumer<RequestState> dispatcher;

    AdmissionController(DecisionContext context, Consumer<RequestState> dispatcher) {
        this.context = context;
        this.settings = context.settings;
        this.state = context.state;
        this.dispatcher = dispatcher;
    }

    /**
     * Returns the priority weight of an arriving request, and takes a token from its tenant's quota. A request over the
     * quota has a lower weight.
     */
    double priorityWeight(RequestArrived arrival, ClassLatencyModel classModel) {
        double cost = settings.weightByCost() && arrival.cost() > 0 ? arrival.cost() : 1;
        double priorityWeight = classModel.requestClass.priorityWeight() * cost;
        TokenBucket quota = state.tenantQuotas.get(String.valueOf(arrival.tenant()));
        if (quota != null && !quota.tryTake(context.now())) {
            priorityWeight *= settings.overQuotaWeight();
        }
        return priorityWeight;
    }

    /** Updates the mean rank. Requests of at least this rank may use the reserved part of the limit. */
    void recordArrival(RequestState request) {
        state.meanRank = state.meanRank == 0
                ? request.rank
                : state.meanRank + ClassLatencyModel.SMOOTHING_FACTOR * (request.rank - state.meanRank);
    }

    /**
     * Admits the request, or queues it. The first tier admits only as many concurrent requests as are answered within
     * their latency objective. It queues the rest, ordered by priority weight per expected latency, highest first.
     * Deeper tiers admit every request, because a rejection there would waste the work already done in the tiers above.
     */
    void admitOrEnqueue(RequestState request) {
        if (settings.tier() > 0
                || hasCapacity(request)
                        && (state.admissionQueue.isEmpty() || request.compareTo(state.admissionQueue.peek()) < 0)) {
            admit(request);
            return;
        }
        long now = context.now();
        request.queued = true;
        state.admissionQueue.add(request);
        context.notifyListener(request, DecisionReason.QUEUED);
        long expectedLatency = (long) request.expectedLatency();
        long latencyObjective = request.classModel.requestClass.latencyObjective() > 0
                ? request.classModel.requestClass.latencyObjective()
                : Long.MAX_VALUE / 2;
        // Reject early rather than just before the deadline, so that the client has time to try another node.
        long rejectAt = Math.min(
                Math.min(context.latestAnswerTime(request), now + latencyObjective) - 2 * expectedLatency,
                now + expectedLatency / 2);
        context.scheduleWakeUp(request, Math.max(now + settings.clockResolution(), rejectAt));
    }

    private void admit(RequestState request) {
        request.admitted = true;
        state.admissionLimit.acquire();
        context.notifyListener(request, DecisionReason.ADMITTED);
        dispatcher.accept(request);
    }

    private boolean hasCapacity(RequestState request) {
        return state.admissionLimit.hasCapacity(request.rank >= state.meanRank);
    }

    /** Admits queued requests in order while there is capacity. */
    void admitQueued() {
        while (!state.admissionQueue.isEmpty() && hasCapacity(state.admissionQueue.peek())) {
            RequestState request = state.admissionQueue.poll();
            request.queued = false;
            admit(request);
        }
    }

    /** Adjusts the limit after a response to an admitted request. */
    void recordLatency(RequestState request) {
        if (request.admitted && request.classModel.requestClass.latencyObjective() > 0) {
            state.admissionLimit.recordLatency(
                    context.now() - request.arrivedAt, request.classModel.requestClass.latencyObjective());
        }
    }

    /** Records that an endpoint rejected the attempt as full; for a request's second attempt, lowers the limit. */
    void recordEndpointFull(AttemptState attempt) {
        if (attempt.request.admitted) {
            state.admissionLimit.onEndpointFull();
            if (attempt.number == 1) {
                state.admissionLimit.onSecondEndpointFull();
            }
        }
    }
}
