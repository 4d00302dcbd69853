package weldhitch.fleet.locality;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Tracks what one node observes of zones from its own endpoint list and attempts. Owned by {@link ZoneSelector}; not
 * thread-safe. Times are nanoseconds.
 */
final class LocalZoneHealth {
    /**
     * Number of consecutive failures, at any of its endpoints, after which a zone with all its endpoints counts as
     * failing, provided that it has given no answer for {@code ZONE_SILENCE_NANOS}. By the count alone, one call in 64
     * to a zone with half of its endpoints down would mark the zone as failing.
     */
    private static final int ZONE_FAILURE_THRESHOLD = 6;
    /**
     * Number of consecutive failures after which an endpoint counts as failing. It is not higher because a failing
     * endpoint is picked less often: one of many endpoints may not get a third call.
     */
    private static final int ENDPOINT_FAILURE_THRESHOLD = 2;
    /** How long a zone must have given no answer to count as failing, in nanoseconds. */
    private static final long ZONE_SILENCE_NANOS = 500_000_000L;
    /**
     * How long a zone counts as failing after its last failure, in nanoseconds. Without this limit no node would ever
     * send a call to the zone again.
     */
    private static final long ZONE_VERDICT_TTL = 3_000_000_000L;
    /**
     * The same limit, in nanoseconds, for a failing endpoint in a zone that answers. It is longer because the node
     * rarely picks an endpoint after a failure, and an endpoint that has had no call for some seconds is probably
     * still down.
     */
    private static final long ENDPOINT_VERDICT_TTL = 20_000_000_000L;

    /** The state of one endpoint: its list entry and its latest results. */
    private static final class EndpointHealth {
        ZoneEndpoint endpoint;
        int consecutiveFailures;
        long lastAnswerAt = Long.MIN_VALUE;
        long lastResultAt = Long.MIN_VALUE;

        boolean hasRecentResult(long now, ZoneHealth zone) {
            boolean zoneAnswers = consecutiveFailures >= ENDPOINT_FAILURE_THRESHOLD
                    && zone.lastAnswerAt != Long.MIN_VALUE
                    && now - zone.lastAnswerAt < ZONE_VERDICT_TTL;
            return lastResultAt != Long.MIN_VALUE
                    && now - lastResultAt < (zoneAnswers ? ENDPOINT_VERDICT_TTL : ZONE_VERDICT_TTL);
        }

        boolean isFailing(long now, ZoneHealth zone) {
            return consecutiveFailures >= ENDPOINT_FAILURE_THRESHOLD && hasRecentResult(now, zone);
        }
    }

    /** The state of one zone: its rates and its latest results. */
    private static final class ZoneHealth {
        final DecayingRate nonQuotaCalls = new DecayingRate();
        final DecayingRate quotaCalls = new DecayingRate();
        final DecayingRate attempts = new DecayingRate();
        final DecayingRate lateAttempts = new DecayingRate();
        int consecutiveFailures;
        long lastFailureAt;
        long lastAnswerAt = Long.MIN_VALUE;

        boolean isFailing(long now) {
            return consecutiveFailures >= ZONE_FAILURE_THRESHOLD
                    && now - lastFailureAt < ZONE_VERDICT_TTL
                    && (lastAnswerAt == Long.MIN_VALUE || lastFailureAt - lastAnswerAt >= ZONE_SILENCE_NANOS);
        }
    }

    /** The total weights of a zone's ready endpoints. */
    private static final class ZoneWeights {
        double listed;
        /** Weight of the listed endpoints that have a recent result. */
        double observed;

        double failing;
    }

    private final double initialCapacityFraction;
    private final long slowStartDuration;
    private final Map<String, EndpointHealth> endpoints = new LinkedHashMap<>();
    private final Map<String, ZoneHealth> zones = new TreeMap<>();

    /**
     * Creates a state without endpoints.
     *
     * @param initialCapacityFraction fraction of its capacity that an endpoint has when it starts, 0 to 1
     * @param slowStartDuration time until an endpoint has its full capacity, in nanoseconds; 0 for no slow start
     */
    LocalZoneHealth(double initialCapacityFraction, long slowStartDuration) {
        this.initialCapacityFraction = initialCapacityFraction;
        this.slowStartDuration = slowStartDuration;
    }

    /**
     * Applies an update of the endpoint list, or the complete list. An endpoint that has restarted begins without
     * results.
     */
    void updateEndpoints(boolean complete, Iterable<ZoneEndpoint> changes) {
        if (complete) {
            Set<String> unlisted = new TreeSet<>(endpoints.keySet());
            changes.forEach(endpoint -> unlisted.remove(endpoint.name()));
            endpoints.keySet().removeAll(unlisted);
        }
        for (ZoneEndpoint change : changes) {
            EndpointHealth known = endpoints.get(change.name());
            if (change.removed()) {
                endpoints.remove(change.name());
            } else if (known == null || known.endpoint.startedAt() != change.startedAt()) {
                endpoints.put(change.name(), new EndpointHealth());
                endpoints.get(change.name()).endpoint = change;
            } else {
                known.endpoint = change;
            }
            zoneHealth(change.zone());
        }
    }

    private ZoneHealth zoneHealth(String name) {
        return zones.computeIfAbsent(name, zone -> new ZoneHealth());
    }

    /** Returns the zone of an endpoint, or null if the endpoint is not listed. */
    String zoneOf(String endpoint) {
        EndpointHealth known = endpoints.get(endpoint);
        return known == null ? null : known.endpoint.zone();
    }

    /** Returns the zones in which the endpoint list has a ready endpoint. */
    Set<String> availableZones() {
        Set<String> available = new TreeSet<>();
        endpoints.values().forEach(health -> {
            if (health.endpoint.ready()) {
                available.add(health.endpoint.zone());
            }
        });
        return available;
    }

    /**
     * Records that an attempt was sent.
     *
     * @param paidByToken whether the attempt used a token of a quota grant
     */
    void onAttemptSent(String endpoint, boolean paidByToken, long now) {
        String zone = zoneOf(endpoint);
        if (zone != null) {
            (paidByToken ? zoneHealth(zone).quotaCalls : zoneHealth(zone).nonQuotaCalls).increment(now);
        }
    }

    /** Records the result of an attempt that was sent at {@code sentAt}. */
    void onAttemptEnded(String endpoint, CallResult result, boolean late, long sentAt, long now) {
        EndpointHealth known = endpoints.get(endpoint);
        if (known == null) {
            return;
        }
        boolean failed = result == CallResult.FAILED;
        if (failed && known.lastAnswerAt > sentAt) {
            // The endpoint has answered another attempt since this one was sent, so it is slow rather than down.
            failed = false;
        }
        ZoneHealth zone = zoneHealth(known.endpoint.zone());
        zone.attempts.increment(now);
        if (late || result != CallResult.ANSWERED) {
            zone.lateAttempts.increment(now);
        }
        known.lastResultAt = now;
        if (failed) {
            known.consecutiveFailures++;
            zone.consecutiveFailures++;
            zone.lastFailureAt = now;
        } else if (result != CallResult.FAILED) {
            known.consecutiveFailures = 0;
            known.lastAnswerAt = now;
            zone.consecutiveFailures = 0;
            zone.lastAnswerAt = now;
        }
    }

    private double effectiveWeight(EndpointHealth health, long now) {
        double slowStartProgress = health.endpoint.startedAt() <= 0 || slowStartDuration <= 0
                ? 1
                : Math.max(0, Math.min(1, (double) (now - health.endpoint.startedAt()) / slowStartDuration));
        return health.endpoint.weight() * (initialCapacityFraction + (1 - initialCapacityFraction) * slowStartProgress);
    }

    /**
     * Returns the load reports by zone.
     *
     * @param capacityPerWeight capacity of an endpoint of weight 1, in calls per second
     */
    Map<String, ZoneLoadReport> loadReports(double capacityPerWeight, long now) {
        Map<String, ZoneWeights> weightsByZone = new TreeMap<>();
        zones.keySet().forEach(zone -> weightsByZone.put(zone, new ZoneWeights()));
        for (EndpointHealth health : endpoints.values()) {
            if (health.endpoint.ready()) {
                double weight = effectiveWeight(health, now);
                ZoneWeights weights = weightsByZone.get(health.endpoint.zone());
                ZoneHealth zone = zoneHealth(health.endpoint.zone());
                boolean failing = health.isFailing(now, zone) || zone.isFailing(now);
                weights.listed += weight;
                weights.observed += failing || health.hasRecentResult(now, zone) ? weight : 0;
                weights.failing += failing ? weight : 0;
            }
        }
        Map<String, ZoneLoadReport> reports = new TreeMap<>();
        zones.forEach((name, zone) -> {
            ZoneWeights weights = weightsByZone.get(name);
            reports.put(
                    name,
                    new ZoneLoadReport(
                            weights.listed * capacityPerWeight,
                            zone.nonQuotaCalls.perSecond(now),
                            zone.quotaCalls.perSecond(now),
                            weights.observed,
                            weights.failing,
                            zone.attempts.perSecond(now),
                            zone.lateAttempts.perSecond(now)));
        });
        return reports;
    }

    /**
     * Returns the fraction of late attempts. One attempt per second is added to the total: both rates decay by the same
     * factor, so a zone that no longer receives attempts would otherwise stay late forever.
     */
    static double lateFraction(double lateRate, double attemptRate) {
        return Math.min(1, lateRate / (attemptRate + 1));
    }

    /**
     * Returns the view of a zone that is based on this node's report only.
     *
     * @param similarNodes number of nodes that are assumed to send the same load, including this one
     */
    static ZoneView localView(ZoneLoadReport report, double similarNodes, double capacityPerWeight, long now) {
        double failingCapacity = report.failingWeight() * capacityPerWeight;
        double healthyFraction = report.capacity() <= 0 ? 0 : Math.max(0, 1 - failingCapacity / report.capacity());
        double healthyCapacity = report.capacity() * healthyFraction;
        double utilization = healthyCapacity <= 0 ? 0 : report.nonQuotaCallRate() * similarNodes / healthyCapacity;
        return new ZoneView(
                healthyFraction,
                utilization,
                lateFraction(report.lateRate(), report.attemptRate()),
                report.capacity(),
                now,
                0);
    }
}
