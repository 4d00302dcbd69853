package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.settings.PlatformRules;

/**
 * Slow start: grants endpoints that have just started the credit that limits what they are sent, measured by what
 * warm endpoints serve. Owned by {@link EndpointSet}; called by {@link RatioBalancer} and
 * {@link WeightedEndpointPicker}. Times are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class SlowStartCredits {
    /** Slow-start credit as a multiple of a warm endpoint's served calls, scaled by the present capacity. */
    private static final double CREDIT_PER_SERVED_CALL = 1.0;
    /** Credit that an arrival earns, divided among all endpoints, where no endpoint was ever warm. */
    private static final double CREDIT_PER_ARRIVAL = 0.7;
    /** Time constant of the average of the served rate. */
    private static final double SERVED_RATE_WINDOW = 5e9;
    /** Idle time beyond this does not lower the served rate, as it says nothing about capacity. */
    private static final long MAX_IDLE_GAP = 1_000_000_000L;

    private final PlatformRules rules;
    /** The ready endpoints; owned and rebuilt by the {@link EndpointSet}. */
    private final List<Endpoint> ready;
    /** Ready endpoints that were in slow start when last checked. */
    final List<Endpoint> warmingUp = new ArrayList<>();
    /**
     * Served rate: calls per nanosecond that a warm endpoint serves this node; the last one known, 0 before
     * any.
     */
    double servedRate;
    /** When {@link #servedRate} was updated, or credit was last earned by it. */
    long servedRateAt;

    /**
     * Creates the credits of a list of endpoints.
     *
     * @param ready the live list of ready endpoints
     */
    SlowStartCredits(PlatformRules rules, List<Endpoint> ready) {
        this.rules = rules;
        this.ready = ready;
    }

    /** The endpoint list has changed: determines anew which of its endpoints are in slow start. */
    void onEndpointsChanged(Collection<Endpoint> endpoints, long now) {
        warmingUp.clear();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state == EndpointState.READY && updateWarmingUp(endpoint, now)) {
                warmingUp.add(endpoint);
            }
        }
    }

    /** Updates whether the endpoint is in slow start, and returns it. */
    boolean updateWarmingUp(Endpoint endpoint, long now) {
        boolean stillWarmingUp = endpoint.startedAt > 0 && now - endpoint.startedAt < rules.slowStartWindow();
        endpoint.setWarmingUp(stillWarmingUp);
        return stillWarmingUp;
    }

    /** Returns the present capacity of the endpoint as a fraction of that of a warm one. */
    double slowStartFactor(Endpoint endpoint, long now) {
        if (!endpoint.warmingUp) {
            return 1;
        }
        double age = Math.max(0, (double) (now - endpoint.startedAt) / rules.slowStartWindow());
        double initialCapacity = rules.initialCapacity();
        return Math.min(1, initialCapacity + (1 - initialCapacity) * age);
    }

    /** The endpoint served a call: a warm one raises the served rate and earns credit for those in slow start. */
    void recordServed(Endpoint endpoint, long now) {
        if (!endpoint.warmingUp) {
            double callsPerEndpoint = 1.0 / Math.max(1, ready.size() - warmingUp.size());
            servedRate = servedRate * Math.exp(-Math.min(now - servedRateAt, MAX_IDLE_GAP) / SERVED_RATE_WINDOW)
                    + callsPerEndpoint / SERVED_RATE_WINDOW;
            servedRateAt = now;
            grantCredit(CREDIT_PER_SERVED_CALL * callsPerEndpoint, now);
        }
    }

    /**
     * A request arrived: earns credit by arrivals where no endpoint was ever warm, as nothing else is known
     * then. If all endpoints are in slow start but some were warm before, credit is earned by the clock from
     * their served rate ({@link #accrueCreditByTime}): by arrivals it would fall as callers fail for lack of
     * capacity.
     */
    void recordArrival(long now) {
        if (warmingUp.size() == ready.size() && servedRate == 0) {
            grantCredit(CREDIT_PER_ARRIVAL / Math.max(1, ready.size()), now);
        }
    }

    /** Called before each pick: earns credit for elapsed time if all endpoints are in slow start. */
    void accrueCreditByTime(long now) {
        if (servedRate > 0 && !warmingUp.isEmpty() && warmingUp.size() == ready.size()) {
            double callsPerEndpoint = servedRate * (now - servedRateAt);
            servedRateAt = now;
            grantCredit(rules.overloadMultiple() / 2 * callsPerEndpoint, now);
        }
    }

    /**
     * Credits each endpoint in slow start with its part of the calls that warm endpoints served: what a warm
     * endpoint of its size serves, scaled to its present capacity. Summed over all nodes this stays below the
     * platform's overload multiple.
     */
    private void grantCredit(double callsPerEndpoint, long now) {
        if (warmingUp.isEmpty()) {
            return;
        }
        warmingUp.removeIf(endpoint -> !updateWarmingUp(endpoint, now));
        double meanWeight = 0;
        for (Endpoint endpoint : ready) {
            meanWeight += endpoint.weight / ready.size();
        }
        for (Endpoint endpoint : warmingUp) {
            endpoint.slowStartCredit(callsPerEndpoint * slowStartFactor(endpoint, now) * endpoint.weight / meanWeight);
        }
    }
}
