package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.balancing.DecisionListener.ExclusionReason;
import weldhitch.decision.endpoint.EndpointState;

/**
 * Builds the trace of a pick for a {@link DecisionListener}: each endpoint of the list with its weight, or with the
 * reason why it could not be picked. Called by {@link WeightedEndpointPicker}; stateless.
 */
final class PickTraceBuilder {
    private PickTraceBuilder() {}

    /** Returns the trace of a pick that was just made. */
    static DecisionListener.PickTrace build(
            RequestState request,
            long now,
            EndpointSet endpoints,
            List<Endpoint> subset,
            double[] weights,
            double lowestMean,
            boolean avoidAttempted,
            Endpoint firstDraw,
            Endpoint secondDraw,
            Endpoint chosen) {
        List<DecisionListener.PickCandidate> candidates = new ArrayList<>();
        for (Endpoint endpoint : endpoints.byId.values()) {
            int index = subset.indexOf(endpoint);
            ExclusionReason exclusion = endpoint.state != EndpointState.READY
                    ? ExclusionReason.DRAINING
                    : !request.allows(endpoint)
                            ? ExclusionReason.ZONE_NOT_ALLOWED
                            : index < 0
                                    ? ExclusionReason.OUTSIDE_SUBSET
                                    : weights[index] > 0
                                            ? ExclusionReason.NONE
                                            : endpoint.warmingUp && endpoint.slowStartCredit < 1
                                                    ? ExclusionReason.NO_SLOW_START_CREDIT
                                                    : avoidAttempted && request.hasAttempted(endpoint)
                                                            ? ExclusionReason.ALREADY_ATTEMPTED
                                                            : ExclusionReason.OUTSIDE_DEDUPLICATION_SCOPE;
            candidates.add(new DecisionListener.PickCandidate(
                    endpoint.id,
                    endpoint.zone,
                    exclusion,
                    endpoint.sampleCount == 0 ? 0 : endpoint.meanLatency(),
                    exclusion == ExclusionReason.NONE ? endpoint.pickMean : 0,
                    endpoint.healthFactor(now),
                    endpoints.slowStart.slowStartFactor(endpoint, now),
                    endpoint.slowStartCredit,
                    endpoint.outstanding.size(),
                    index < 0 ? 0 : weights[index]));
        }
        return new DecisionListener.PickTrace(
                now,
                request.id,
                request.attempts.size(),
                lowestMean,
                candidates,
                firstDraw == null ? null : firstDraw.id,
                secondDraw == null ? null : secondDraw.id,
                chosen == null ? null : chosen.id);
    }
}
