package weldhitch.decision.balancing;

import weldhitch.decision.settings.RequestClass;

/**
 * Learns the expected latency of a request class in nanoseconds, by linear regression on the cost hint where
 * there is one. Round trips are divided by it, so that an endpoint is not judged by the mix of requests it
 * happened to get (Küting et al., section 6: the remedy for mixed request types). Mutable, owned by the
 * balancer's thread.
 */
final class ClassLatencyModel {
    static final double SMOOTHING_FACTOR = 0.02;

    final RequestClass requestClass;
    double meanLatency;
    double latencyDeviation;
    double meanCost;
    double costVariance;
    double covariance;
    int sampleCount;

    ClassLatencyModel(RequestClass requestClass) {
        this.requestClass = requestClass;
    }

    /** Records the latency of a served call with this cost hint. */
    void record(double costHint, double latency) {
        double smoothing = Math.max(SMOOTHING_FACTOR, 1.0 / ++sampleCount);
        latencyDeviation += smoothing * (Math.abs(latency - expectedLatency(costHint)) - latencyDeviation);
        double costDelta = costHint - meanCost;
        double latencyDelta = latency - meanLatency;
        meanCost += smoothing * costDelta;
        meanLatency += smoothing * latencyDelta;
        costVariance += smoothing * (costDelta * costDelta - costVariance);
        covariance += smoothing * (costDelta * latencyDelta - covariance);
    }

    /**
     * Returns the expected latency for this cost hint; a quarter of the objective, or 0.1 s, before any sample.
     */
    double expectedLatency(double costHint) {
        if (sampleCount == 0) {
            return requestClass.latencyObjective() > 0 ? requestClass.latencyObjective() / 4.0 : 1e8;
        }
        double slope = costVariance > 1e-12 ? covariance / costVariance : 0;
        // At least 1 ns: latencies of 0 must not make it 0, as round trips are divided by it.
        return Math.max(1, Math.max(meanLatency / 5, meanLatency + Math.max(0, slope) * (costHint - meanCost)));
    }

    /**
     * Returns the timeout after which an attempt is abandoned for a retry, its work being lost. It is computed
     * like the retransmission timeout of RFC 6298, where a single measurement implies a deviation of half of
     * it, and none implies nothing.
     */
    long attemptTimeout(double costHint) {
        double expected = expectedLatency(costHint);
        return sampleCount == 0
                ? Math.max(requestClass.latencyObjective(), (long) expected)
                : (long) (expected + 4 * Math.max(latencyDeviation, expected / (1 + sampleCount)));
    }

    /** Returns the time after which a hedged request is worth its work. */
    long hedgeDelay(double costHint) {
        return (long) (expectedLatency(costHint) + 4 * latencyDeviation);
    }
}
