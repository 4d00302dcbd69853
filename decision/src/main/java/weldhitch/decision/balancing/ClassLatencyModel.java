package weldhitch.decision.balancing;

import weldhitch.decision.settings.RequestClass;

/**
 * Learns the expected latency of a request class in nanoseconds, by linear regression on the cost hint if there is
 * one. Round trips are divided by the expected latency, so that an endpoint's mean does not depend on the mix of
 * requests that it happened to receive (Küting et al., section 6: the remedy for mixed request types). Mutable; owned
 * by the balancer's thread.
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

    /** Records the latency in nanoseconds of a successful attempt with this cost hint. */
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
     * Returns the expected latency in nanoseconds for this cost hint. Before the first sample it is a quarter of the
     * latency objective, or 0.1 s if the class has no objective.
     */
    double expectedLatency(double costHint) {
        if (sampleCount == 0) {
            return requestClass.latencyObjective() > 0 ? requestClass.latencyObjective() / 4.0 : 1e8;
        }
        double slope = costVariance > 1e-12 ? covariance / costVariance : 0;
        // At least 1 ns even if all latencies were 0, because round trips are divided by it.
        return Math.max(1, Math.max(meanLatency / 5, meanLatency + Math.max(0, slope) * (costHint - meanCost)));
    }

    /**
     * Returns the timeout in nanoseconds after which an attempt is abandoned for a retry, which loses its work. It is
     * computed like the retransmission timeout of RFC 6298, where a single measurement implies a deviation of half its
     * value. Without a measurement there is no deviation to add, and the latency objective is the lower bound.
     */
    long attemptTimeout(double costHint) {
        double expected = expectedLatency(costHint);
        return sampleCount == 0
                ? Math.max(requestClass.latencyObjective(), (long) expected)
                : (long) (expected + 4 * Math.max(latencyDeviation, expected / (1 + sampleCount)));
    }

    /** Returns the time in nanoseconds after which a hedged request is worth its additional work. */
    long hedgeDelay(double costHint) {
        return (long) (expectedLatency(costHint) + 4 * latencyDeviation);
    }
}
