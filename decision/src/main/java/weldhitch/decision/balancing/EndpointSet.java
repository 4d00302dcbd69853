package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.settings.PlatformRules;

/**
 * The endpoint list, its ready endpoints in ring order, and the slow-start credit that limits what endpoints
 * in slow start are sent. Times are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class EndpointSet {
    /** Slow-start credit as a multiple of a warm endpoint's served calls, scaled by the present capacity. */
    private static final double SLOW_START_CREDIT_FACTOR = 1.0;
    /** Time constant of the average of the served rate. */
    private static final double SERVED_RATE_WINDOW = 5e9;
    /** Idle time beyond this does not lower the served rate, as it says nothing about capacity. */
    private static final long MAX_IDLE_GAP = 1_000_000_000L;

    private final PlatformRules rules;
    final Map<String, Endpoint> byId = new LinkedHashMap<>();
    final Map<String, DecayingFailureCount> failuresByZone = new LinkedHashMap<>();
    /** Endpoints that may be sent to, in the ring order that all nodes share; rebuilt at each update. */
    final List<Endpoint> ready = new ArrayList<>();
    /** Ready endpoints that were in slow start when last checked. */
    final List<Endpoint> warmingUp = new ArrayList<>();
    /**
     * Served rate: calls per nanosecond that a warm endpoint serves this node; the last one known, 0 before
     * any.
     */
    double servedRate;
    /** When {@link #servedRate} was updated, or credit was last earned by it. */
    long servedRateAt;

    EndpointSet(PlatformRules rules) {
        this.rules = rules;
    }

    void apply(EndpointsChanged change, SeededRandom random, long now) {
        if (change.kind() != EndpointUpdateKind.DELTA) {
            Map<String, Endpoint> unlisted = new LinkedHashMap<>(byId);
            change.entries().forEach(e -> unlisted.remove(e.endpointId()));
            unlisted.keySet().forEach(byId::remove);
        }
        change.entries().forEach(e -> apply(e, random));
        warmingUp.clear();
        for (Endpoint endpoint : byId.values()) {
            if (endpoint.state == EndpointState.READY && updateWarmingUp(endpoint, now)) {
                warmingUp.add(endpoint);
            }
        }
        rebuildReady();
    }

    private void apply(EndpointEntry entry, SeededRandom random) {
        if (entry.state() == EndpointState.REMOVED) {
            byId.remove(entry.endpointId());
            return;
        }
        Endpoint endpoint = byId.get(entry.endpointId());
        if (endpoint == null || endpoint.startedAt != entry.startedAt()) {
            String zone = String.valueOf(entry.zone());
            endpoint = new Endpoint(entry.endpointId(), zone, entry.cell(), entry.startedAt(), failuresOfZone(zone));
            // Random, so that not all nodes send their first call to the endpoint at the same moment.
            endpoint.slowStartCredit = random.nextDouble();
            byId.put(entry.endpointId(), endpoint);
        }
        endpoint.update(entry);
    }

    DecayingFailureCount failuresOfZone(String name) {
        return failuresByZone.computeIfAbsent(name, z -> new DecayingFailureCount());
    }

    void rebuildReady() {
        ready.clear();
        for (Endpoint endpoint : byId.values()) {
            if (endpoint.state == EndpointState.READY) {
                ready.add(endpoint);
            }
        }
        ready.sort(Comparator.<Endpoint>comparingInt(endpoint -> endpoint.ringPosition)
                .thenComparing(endpoint -> endpoint.id));
    }

    double totalWeight() {
        return ready.stream().mapToDouble(endpoint -> endpoint.weight).sum();
    }

    boolean updateWarmingUp(Endpoint endpoint, long now) {
        boolean stillWarmingUp = endpoint.startedAt > 0 && now - endpoint.startedAt < rules.slowStartWindow();
        endpoint.setWarmingUp(stillWarmingUp);
        return stillWarmingUp;
    }

    double slowStartFactor(Endpoint endpoint, long now) {
        if (!endpoint.warmingUp) {
            return 1;
        }
        double age = Math.max(0, (double) (now - endpoint.startedAt) / rules.slowStartWindow());
        double initialCapacity = rules.initialCapacity();
        return Math.min(1, initialCapacity + (1 - initialCapacity) * age);
    }

    void recordServed(Endpoint endpoint, long now) {
        if (!endpoint.warmingUp) {
            double callsPerEndpoint = 1.0 / Math.max(1, ready.size() - warmingUp.size());
            servedRate = servedRate * Math.exp(-Math.min(now - servedRateAt, MAX_IDLE_GAP) / SERVED_RATE_WINDOW)
                    + callsPerEndpoint / SERVED_RATE_WINDOW;
            servedRateAt = now;
            grantCredit(SLOW_START_CREDIT_FACTOR * callsPerEndpoint, now);
        }
    }

    /**
     * A request arrived: earns credit by arrivals where no endpoint was ever warm, as nothing else is known
     * then. If all endpoints are in slow start but some were warm before, credit is earned by the clock from
     * their served rate ({@link #accrueCreditByTime}): by arrivals it would fall as callers fail for lack of capacity.
     */
    void recordArrival(long now) {
        if (warmingUp.size() == ready.size() && servedRate == 0) {
            grantCredit(0.7 / Math.max(1, ready.size()), now);
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
