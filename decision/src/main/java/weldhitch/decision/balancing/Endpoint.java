package weldhitch.decision.balancing;

import java.util.ArrayDeque;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.endpoint.RingPosition;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * The state of one endpoint: its entry in the endpoint list, its last round trips as multiples of the expected
 * latency of their class, its failures, its slow-start credit and its attempts in flight. Times are
 * nanoseconds. Mutable, and owned by the balancer's thread; each change first lets a snapshot in progress save
 * the old state.
 */
final class Endpoint {
    /**
     * Round trips that an endpoint's mean is computed over (Küting et al., section 5.3: the averaged variant,
     * 20).
     */
    static final int LATENCY_WINDOW = BalancerSnapshot.EndpointSnapshot.LATENCY_WINDOW;
    /** Time constant by which an old mean decays towards t_b, and the error rate towards 0. */
    static final double DECAY_NANOS = 10e9;

    private static final double ERROR_RATE_SMOOTHING = 0.1;

    final String id;
    final int ringPosition;
    final String zone;
    final long cell;
    final long startedAt;
    final DecayingFailureCount failures = new DecayingFailureCount();
    /** Shared by all endpoints of the zone. */
    final DecayingFailureCount zoneFailures;
    /** Attempts in flight, oldest first. */
    final ArrayDeque<AttemptState> outstanding = new ArrayDeque<>();

    final double[] latencies = new double[LATENCY_WINDOW];
    EndpointState state;
    double weight;
    /** Calls that may be sent to it while it is in slow start. */
    double slowStartCredit;

    boolean warmingUp;
    double errorRate;
    /** Sum of the window, updated incrementally; its rounding errors are part of the state. */
    double latencySum;

    int sampleCount;
    int nextSample;
    long lastSampleAt;
    long lastResponseAt;
    /** The mean that the current pick uses. */
    double pickMean;
    /**
     * The snapshot in progress that has yet to save this endpoint, or null; {@code snapshotIndex} is the index
     * there.
     */
    IncrementalSnapshot pendingSnapshot;

    int snapshotIndex;

    Endpoint(String id, String zone, long cell, long startedAt, DecayingFailureCount zoneFailures) {
        this.id = id;
        this.ringPosition = RingPosition.of(id);
        this.zone = zone;
        this.cell = cell;
        this.startedAt = startedAt;
        this.zoneFailures = zoneFailures;
    }

    /** Called before each change: lets a snapshot in progress save the state before it. */
    private void beforeChange() {
        if (pendingSnapshot != null) {
            pendingSnapshot.save(this);
        }
    }

    void update(EndpointEntry entry) {
        beforeChange();
        state = entry.state();
        weight = entry.weight() > 0 ? entry.weight() : 1;
    }

    /** An attempt is sent; in slow start it costs one credit. */
    void attemptSent(AttemptState attempt) {
        beforeChange();
        outstanding.addLast(attempt);
        slowStartCredit -= warmingUp ? 1 : 0;
    }

    /** An attempt is no longer in flight. */
    void attemptEnded(AttemptState attempt) {
        beforeChange();
        outstanding.remove(attempt);
    }

    /** The endpoint has answered something. */
    void responseReceived(long now) {
        beforeChange();
        lastResponseAt = now;
    }

    void slowStartCredit(double amount) {
        beforeChange();
        slowStartCredit = Math.min(2, slowStartCredit + amount);
    }

    void setWarmingUp(boolean nowWarmingUp) {
        if (warmingUp != nowWarmingUp) {
            beforeChange();
            warmingUp = nowWarmingUp;
        }
    }

    /** A call was served: its round trip joins the window, the failure counts are cleared. */
    void recordLatency(double roundTrip, long now) {
        beforeChange();
        latencySum += roundTrip - (sampleCount == LATENCY_WINDOW ? latencies[nextSample] : 0);
        latencies[nextSample] = roundTrip;
        nextSample = (nextSample + 1) % LATENCY_WINDOW;
        sampleCount = Math.min(LATENCY_WINDOW, sampleCount + 1);
        lastSampleAt = now;
        failures.clear();
        errorRate -= ERROR_RATE_SMOOTHING * errorRate;
        zoneFailures.clear();
    }

    /**
     * Counts a failed attempt.
     *
     * @param errorResponse whether the endpoint answered with an error
     * @param noResponse whether it did not answer, which also counts against its zone
     */
    void recordFailure(boolean errorResponse, boolean noResponse, long now) {
        beforeChange();
        if (errorResponse) {
            double decayedRate = currentErrorRate(now);
            errorRate = decayedRate + ERROR_RATE_SMOOTHING * (1 - decayedRate);
        }
        failures.add(now);
        if (noResponse) {
            zoneFailures.add(now);
        }
    }

    private double currentErrorRate(long now) {
        return errorRate == 0 ? 0 : errorRate * Math.exp((failures.updatedAt - now) / DECAY_NANOS);
    }

    /** The factor, up to 1, by which failures lower the endpoint's weight (section 3.4; the curve is ours). */
    double healthFactor(long now) {
        double successFactor = Math.pow(1 - currentErrorRate(now), 3);
        return failures.weightFactor(now)
                * zoneFailures.weightFactor(now)
                * Math.max(DecayingFailureCount.MIN_WEIGHT_FACTOR, successFactor);
    }

    double meanLatency() {
        return Math.max(1e-6, latencySum / sampleCount);
    }

    /**
     * Returns t_i of section 3.2: the mean of the window, decaying towards t_b as it ages; t_b if there is
     * none. A stalled endpoint would keep its old mean, so with a call in flight the time since its last
     * answer is a lower bound, multiplied by the number of calls in flight plus one.
     */
    double currentMeanLatency(double lowestMean, long now) {
        double mean = lowestMean;
        if (sampleCount > 0) {
            mean = lowestMean + (meanLatency() - lowestMean) * Math.exp((lastSampleAt - now) / DECAY_NANOS);
        }
        AttemptState oldest = outstanding.peekFirst();
        if (oldest != null) {
            double silence = (now - Math.max(oldest.sentAt, lastResponseAt)) / oldest.request.expectedLatency();
            mean = Math.max(mean, silence) * (1 + outstanding.size());
        }
        return mean;
    }
}
