package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.settings.PlatformRules;

/**
 * Grants slow-start credit to endpoints that have just started. The credit limits the attempts that they are sent,
 * relative to the number that warm endpoints serve. Owned by {@link EndpointSet}; called by {@link RatioBalancer} and
 * {@link WeightedEndpointPicker}. Times are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class SlowStartCredits {
    /** Slow-start credit as a multiple of the attempts that a warm endpoint served, scaled by the present capacity. */
    private static final double CREDIT_PER_SERVED_ATTEMPT = 1.0;
    /** Credit that an arriving request earns, divided among all endpoints, if no endpoint was ever warm. */
    private static final double CREDIT_PER_ARRIVAL = 0.7;
    /** Time constant of the average of the served rate, in nanoseconds. */
    private static final double SERVED_RATE_WINDOW = 5e9;
    /** Maximum idle time in nanoseconds for which the served rate decays; longer idle times do not reflect capacity. */
    private static final long MAX_IDLE_GAP = 1_000_000_000L;

    private final PlatformRules rules;
    /** The ready endpoints; owned and rebuilt by the {@link EndpointSet}. */
    private final List<Endpoint> ready;
    /** Ready endpoints that were in slow start when last checked. */
    final List<Endpoint> warmingUp = new ArrayList<>();
    /** Served rate: attempts per nanosecond that a warm endpoint serves for this node; last known value, 0 if none. */
    double servedRate;
    /** Time at which {@link #servedRate} was last updated, or credit was last earned from it. */
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

    /** Determines which endpoints of a changed endpoint list are in slow start. */
    void onEndpointsChanged(Collection<Endpoint> endpoints, long now) {
        warmingUp.clear();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state == EndpointState.READY && updateWarmingUp(endpoint, now)) {
                warmingUp.add(endpoint);
            }
        }
    }

    /** Updates whether the endpoint is in slow start, and returns the result. */
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

    /**
     * Records an attempt that the endpoint served. If the endpoint is warm, this raises the served rate and grants
     * credit to the endpoints in slow start.
     */
    void recordServed(Endpoint endpoint, long now) {
        if (!endpoint.warmingUp) {
            double attemptsPerEndpoint = 1.0 / Math.max(1, ready.size() - warmingUp.size());
            servedRate = servedRate * Math.exp(-Math.min(now - servedRateAt, MAX_IDLE_GAP) / SERVED_RATE_WINDOW)
                    + attemptsPerEndpoint / SERVED_RATE_WINDOW;
            servedRateAt = now;
            grantCredit(CREDIT_PER_SERVED_ATTEMPT * attemptsPerEndpoint, now);
        }
    }

    /**
     * Grants credit for an arriving request if no endpoint was ever warm, because no served rate is known then. If all
     * endpoints are in slow start but some were warm before, credit is granted for elapsed time by their served rate
     * ({@link #accrueCreditByTime}). Credit by arrivals would fall in that case, because clients whose requests fail
     * for lack of capacity send fewer.
     */
    void recordArrival(long now) {
        if (warmingUp.size() == ready.size() && servedRate == 0) {
            grantCredit(CREDIT_PER_ARRIVAL / Math.max(1, ready.size()), now);
        }
    }

    /** Grants credit for elapsed time if all endpoints are in slow start. Called before each pick. */
    void accrueCreditByTime(long now) {
        if (servedRate > 0 && !warmingUp.isEmpty() && warmingUp.size() == ready.size()) {
            double attemptsPerEndpoint = servedRate * (now - servedRateAt);
            servedRateAt = now;
            grantCredit(rules.overloadMultiple() / 2 * attemptsPerEndpoint, now);
        }
    }

    /**
     * Grants credit to each endpoint in slow start: the number of attempts that a warm endpoint of its weight served,
     * scaled to its present capacity. Summed over all nodes, this stays below the platform's overload multiple.
     */
    private void grantCredit(double attemptsPerEndpoint, long now) {
        if (warmingUp.isEmpty()) {
            return;
        }
        warmingUp.removeIf(endpoint -> !updateWarmingUp(endpoint, now));
        double meanWeight = 0;
        for (Endpoint endpoint : ready) {
            meanWeight += endpoint.weight / ready.size();
        }
        for (Endpoint endpoint : warmingUp) {
            endpoint.addSlowStartCredit(
                    attemptsPerEndpoint * slowStartFactor(endpoint, now) * endpoint.weight / meanWeight);
        }
    }
}
