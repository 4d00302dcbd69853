package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.Idempotency;

/**
 * Picks the endpoint of an attempt by the Ratio approach (Küting et al., "Client-Based Adaptive Load Balancing in
 * Service-Oriented Systems", section 3.2) in its averaged variant (section 5.3). With t_b the lowest mean,
 * f_i = t_b / t_i and p_i = f_i / sum(f), two endpoints are drawn by p_i with replacement, and the one with the lower
 * mean is picked. Failures lower the weight of an endpoint (section 3.4, with a formula that is not from the paper).
 * Slow start and the cost of crossing zones also lower it; these, and the subsets of a large fleet, are not part of
 * the paper.
 * Called by {@link RatioBalancer} on its thread; not thread-safe.
 */
final class WeightedEndpointPicker {
    /** Minimum number of healthy, warm endpoints in a node's subset, if there are that many. */
    private static final int MIN_SUBSET_SIZE = 12;
    /** Number of nodes whose subsets cover one endpoint on average, in a large fleet. */
    private static final int NODES_PER_ENDPOINT = 4;
    /** Relative increase of the mean latency of an endpoint in another zone, per unit of the cross-zone cost. */
    private static final double CROSS_ZONE_PENALTY = 50;

    private final BalancerSettings settings;
    private final EndpointSet endpoints;
    private final SeededRandom random;
    /** Candidates of the current pick. Like {@link #weights}, this is scratch space and not part of a snapshot. */
    private final List<Endpoint> subset = new ArrayList<>();

    private double[] weights = new double[16];
    /** t_b, the lowest mean in the subset; 1 if no endpoint there has been sampled. */
    private double lowestMean;

    WeightedEndpointPicker(BalancerSettings settings, EndpointSet endpoints, SeededRandom random) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.random = random;
    }

    /**
     * Returns the endpoint for the request's next attempt, or null if none can take it. Also updates the slow-start
     * credit.
     */
    Endpoint pickEndpoint(RequestState request, long now, DecisionListener listener) {
        endpoints.slowStart.accrueCreditByTime(now);
        List<Endpoint> ready = endpoints.ready;
        int windowStart =
                ready.isEmpty() ? 0 : (int) ((long) settings.nodeIndex() * ready.size() / settings.nodeCount());
        int subsetSize = Math.max(MIN_SUBSET_SIZE, NODES_PER_ENDPOINT * ready.size() / settings.nodeCount());
        // Section 3.2: t_b is the lowest response time, here within the node's subset of the ring.
        lowestMean = Double.MAX_VALUE;
        subset.clear();
        for (int offset = 0, healthy = 0; offset < ready.size() && healthy < subsetSize; offset++) {
            Endpoint endpoint = ready.get((windowStart + offset) % ready.size());
            if (!request.allows(endpoint)) {
                continue;
            }
            subset.add(endpoint);
            healthy += endpoint.healthFactor(now) >= 0.5 && !endpoint.warmingUp ? 1 : 0;
            lowestMean = endpoint.sampleCount > 0 ? Math.min(lowestMean, endpoint.meanLatency()) : lowestMean;
        }
        lowestMean = lowestMean == Double.MAX_VALUE ? 1 : lowestMean;
        // Section 3.4, failover: prefer endpoints that this request has not attempted, then fall back to all.
        boolean avoidAttempted = true;
        double totalWeight = computeWeights(request, now, true);
        if (totalWeight <= 0) {
            avoidAttempted = false;
            subset.clear();
            for (int offset = 0; offset < ready.size(); offset++) {
                Endpoint endpoint = ready.get((windowStart + offset) % ready.size());
                if (request.allows(endpoint)) {
                    subset.add(endpoint);
                }
            }
            totalWeight = computeWeights(request, now, false);
        }
        // Section 3.2: two choices by p_i with replacement, so that a slow endpoint is still sampled sometimes.
        Endpoint firstDraw = totalWeight <= 0 ? null : drawByWeight(totalWeight);
        Endpoint secondDraw = totalWeight <= 0 ? null : drawByWeight(totalWeight);
        // Section 3.2: the one with the lower response time is picked.
        Endpoint chosen = firstDraw == null || secondDraw.pickMean < firstDraw.pickMean ? secondDraw : firstDraw;
        if (listener != null) {
            listener.onPick(PickTraceBuilder.build(
                    request,
                    now,
                    endpoints,
                    subset,
                    weights,
                    lowestMean,
                    avoidAttempted,
                    firstDraw,
                    secondDraw,
                    chosen));
        }
        return chosen;
    }

    /** Returns whether an endpoint of the allowed zones that the request has not attempted can take it. */
    boolean hasUnattempted(RequestState request, long now) {
        endpoints.slowStart.accrueCreditByTime(now);
        for (Endpoint endpoint : endpoints.ready) {
            if (request.allows(endpoint) && !request.hasAttempted(endpoint) && isEligible(request, endpoint, now)) {
                return true;
            }
        }
        return false;
    }

    /** Computes the weight of each candidate for this request and returns their sum (section 3.2: sum(f)). */
    private double computeWeights(RequestState request, long now, boolean avoidAttempted) {
        weights = weights.length < subset.size() ? new double[subset.size() * 2] : weights;
        double totalWeight = 0;
        for (int i = 0; i < subset.size(); i++) {
            Endpoint endpoint = subset.get(i);
            weights[i] = 0;
            if (isEligible(request, endpoint, now) && !(avoidAttempted && request.hasAttempted(endpoint))) {
                // Section 5.3: t_i is the mean of the last round trips.
                double mean = endpoint.currentMeanLatency(lowestMean, now);
                endpoint.pickMean = endpoint.zone.equals(settings.zone())
                        ? mean
                        : mean * (1 + CROSS_ZONE_PENALTY * settings.crossZoneCost());
                // f_i = t_b / t_i (section 3.2), times the slow-start factor (not part of the paper) and the health
                // factor (section 3.4).
                weights[i] = lowestMean
                        / endpoint.pickMean
                        * endpoints.slowStart.slowStartFactor(endpoint, now)
                        * endpoint.healthFactor(now);
                totalWeight += weights[i];
            }
        }
        return totalWeight;
    }

    /** Draws one candidate with probability p_i = f_i / sum(f) (section 3.2). */
    private Endpoint drawByWeight(double totalWeight) {
        double remaining = random.nextDouble() * totalWeight;
        Endpoint candidate = null;
        for (int i = 0; i < subset.size(); i++) {
            if (weights[i] > 0) {
                candidate = subset.get(i);
                remaining -= weights[i];
                if (remaining < 0) {
                    return candidate;
                }
            }
        }
        return candidate;
    }

    /** Returns whether the endpoint is in the deduplication scope and, in slow start, has credit. */
    private boolean isEligible(RequestState request, Endpoint endpoint, long now) {
        if (endpoint.warmingUp && endpoint.slowStartCredit < 1 && endpoints.slowStart.updateWarmingUp(endpoint, now)) {
            return false;
        }
        return request.firstPossiblyExecuted == null
                || request.classModel.requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY
                || inDeduplicationScope(request, endpoint);
    }

    private static boolean inDeduplicationScope(RequestState request, Endpoint endpoint) {
        Endpoint executor = request.firstPossiblyExecuted.endpoint;
        return switch (request.classModel.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> endpoint.zone.equals(executor.zone);
            case CELL -> endpoint.cell == executor.cell && endpoint.zone.equals(executor.zone);
        };
    }
}
