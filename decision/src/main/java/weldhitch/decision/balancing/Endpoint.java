package weldhitch.decision.balancing;

import java.util.ArrayDeque;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.endpoint.RingPosition;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * The state of one endpoint: its entry in the endpoint list, its last round trips as multiples of the expected latency
 * of their class, its failures, its slow-start credit and its attempts in flight. Each change first lets a snapshot in
 * progress save the old state. Times are nanoseconds. Mutable; owned by the balancer's thread.
 */
final class Endpoint {
    /** Number of round trips in the window of an endpoint's mean (Küting et al., section 5.3: averaged variant, 20). */
    static final int LATENCY_WINDOW = BalancerSnapshot.EndpointSnapshot.LATENCY_WINDOW;
    /** Time constant in nanoseconds with which an old mean decays towards t_b, and the error rate towards 0. */
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
    /** Number of attempts that may be sent to the endpoint while it is in slow start. */
    double slowStartCredit;

    boolean warmingUp;
    double errorRate;
    /** Sum of the window, updated incrementally. Its rounding errors are part of the state, so snapshots include it. */
    double latencySum;

    int sampleCount;
    int nextSample;
    long lastSampleAt;
    long lastResponseAt;
    /** The mean used for the current pick. */
    double pickMean;
    /**
     * The snapshot in progress that has not saved this endpoint yet, or null. {@link #snapshotIndex} is the
     * endpoint's index in that snapshot.
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

    /** Lets a snapshot in progress save the current state. Called before each change. */
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

    /** Adds an attempt that is being sent. In slow start it costs one credit. */
    void attemptSent(AttemptState attempt) {
        beforeChange();
        outstanding.addLast(attempt);
        slowStartCredit -= warmingUp ? 1 : 0;
    }

    /** Removes an attempt that is no longer in flight. */
    void attemptEnded(AttemptState attempt) {
        beforeChange();
        outstanding.remove(attempt);
    }

    /** Records the time of a response, successful or not. */
    void responseReceived(long now) {
        beforeChange();
        lastResponseAt = now;
    }

    void addSlowStartCredit(double amount) {
        beforeChange();
        slowStartCredit = Math.min(2, slowStartCredit + amount);
    }

    void setWarmingUp(boolean nowWarmingUp) {
        if (warmingUp != nowWarmingUp) {
            beforeChange();
            warmingUp = nowWarmingUp;
        }
    }

    /** Adds a successful attempt's round trip to the window, clears the failure counts and lowers the error rate. */
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
     * Records a failed attempt.
     *
     * @param errorResponse whether the endpoint responded with an error
     * @param noResponse whether the endpoint did not respond, which also counts as a failure of its zone
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

    /** Returns the factor, at most 1, by which failures lower the weight (section 3.4; formula not from the paper). */
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
     * Returns t_i of section 3.2: the mean of the window, which decays towards t_b as the window ages, or t_b if the
     * window is empty. With attempts in flight, the time since the last response (or since the oldest attempt was sent,
     * if that is later) is a lower bound, because a stalled endpoint would otherwise keep its old mean. The result is
     * then multiplied by the number of attempts in flight plus one.
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
