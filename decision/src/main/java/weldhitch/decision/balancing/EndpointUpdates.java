package weldhitch.decision.balancing;

import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.settings.BalancerSettings;

/**
 * Subscribes to endpoint updates and applies them to the {@link EndpointSet} and the admission limit. A rejected
 * subscription is repeated after an exponential backoff. Called by {@link RatioBalancer} on its thread; not
 * thread-safe.
 */
final class EndpointUpdates {
    /** Number of rejections in a row after which the backoff no longer grows. */
    private static final int MAX_COUNTED_REJECTIONS = 6;
    /** Base of the backoff after a rejection, in nanoseconds; it doubles with each rejection. */
    private static final double BASE_BACKOFF = 1e9;
    /** Longest backoff, as a fraction of the longest poll interval. */
    private static final double MAX_BACKOFF_FRACTION = 0.8;
    /** Longest delay of the first subscription, as a fraction of the longest poll interval. */
    private static final double MAX_FIRST_DELAY_FRACTION = 0.4;
    /**
     * Longest delay of the first subscription, in nanoseconds per node of the fleet, so that a small fleet subscribes
     * at once.
     */
    private static final double FIRST_DELAY_PER_NODE = 50e6;

    private final DecisionContext context;
    private final BalancerSettings settings;
    private final BalancerState state;

    EndpointUpdates(DecisionContext context) {
        this.context = context;
        this.settings = context.settings;
        this.state = context.state;
    }

    /** Schedules the first subscription at a random time, so that nodes started together don't subscribe at once. */
    void scheduleFirstSubscription() {
        if (settings.pollsEndpoints()) {
            double maxDelay = Math.min(
                    MAX_FIRST_DELAY_FRACTION * settings.rules().maxPollInterval(),
                    FIRST_DELAY_PER_NODE * settings.nodeCount());
            state.timers.schedule(context.now() + (long) (state.random.nextDouble() * maxDelay), null);
        }
    }

    /** Requests a subscription, unless there is one or one is pending. */
    void subscribe() {
        if (!state.subscriptionPending && !state.subscribed) {
            state.subscriptionPending = true;
            context.emit(new SubscribeToEndpoints());
        }
    }

    /** Applies an update of the endpoint list, or schedules the next subscription if this one was rejected. */
    void onEndpointsChanged(EndpointsChanged changed) {
        if (changed.kind() == EndpointUpdateKind.REJECTED) {
            onSubscriptionRejected();
            return;
        }
        if (changed.kind() != EndpointUpdateKind.CACHED && state.subscriptionPending) {
            state.subscribed = true;
            state.subscriptionRejections = 0;
        }
        state.endpoints.apply(changed, state.random, context.now());
        state.admissionLimit.onEndpointsChanged(
                state.endpoints.ready.size(), state.endpoints.totalWeight(), settings.nodeCount());
    }

    private void onSubscriptionRejected() {
        state.subscriptionPending = false;
        state.subscribed = false;
        state.subscriptionRejections = Math.min(state.subscriptionRejections + 1, MAX_COUNTED_REJECTIONS);
        double backoff = Math.min(
                BASE_BACKOFF * (1 << state.subscriptionRejections),
                MAX_BACKOFF_FRACTION * settings.rules().maxPollInterval());
        state.timers.schedule(context.now() + (long) (backoff * (0.5 + state.random.nextDouble() / 2)), null);
    }
}
