package weldhitch.fleet.locality;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What one node observes of zones by its own endpoint list and calls. Owned by {@link ZoneSelector}; not
 * thread-safe.
 */
final class LocalZoneHealth {
    /**
     * A zone counts as failing, with all its endpoints, after this many failures in a row, of whichever
     * endpoints, and no answer for {@code ZONE_SILENCE_NANOS}. By the count only, one call in sixty-four
     * would declare a zone failed half of whose endpoints are down.
     */
    private static final int ZONE_FAILURE_THRESHOLD = 6;
    /**
     * An endpoint counts as failing after this many failures in a row. It is no more because a failing
     * endpoint is picked less often: one of many may not get a third call.
     */
    private static final int ENDPOINT_FAILURE_THRESHOLD = 2;
    /** How long a zone must have given no answer, in nanoseconds, to count as failing. */
    private static final long ZONE_SILENCE_NANOS = 500_000_000L;
    /**
     * How long a failed zone counts as failing without another failure: after that it has to be tried again,
     * or no node ever would.
     */
    private static final long ZONE_VERDICT_TTL = 3_000_000_000L;
    /**
     * The same for a failing endpoint of a zone that answers: the node picks it rarely after a failure, and
     * after some seconds without a call it is likely to be still down.
     */
    private static final long ENDPOINT_VERDICT_TTL = 20_000_000_000L;

    /** One endpoint: its list entry and its latest results. */
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

    /** One zone: its rates and its latest results. */
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

    /** The weight of a zone's ready endpoints, summed up. */
    private static final class ZoneWeights {
        double listed;
        /** Of those with a recent result. */
        double observed;

        double failing;
    }

    private final double initialCapacityFraction;
    private final long slowStartDuration;
    private final Map<String, EndpointHealth> endpoints = new LinkedHashMap<>();
    private final Map<String, ZoneHealth> zones = new TreeMap<>();

    /**
     * Creates a view without endpoints.
     *
     * @param initialCapacityFraction fraction of its capacity that an endpoint bears when it starts, 0 to 1
     * @param slowStartDuration how long until it bears all of it, in nanoseconds; 0 for no slow start
     */
    LocalZoneHealth(double initialCapacityFraction, long slowStartDuration) {
        this.initialCapacityFraction = initialCapacityFraction;
        this.slowStartDuration = slowStartDuration;
    }

    /**
     * Applies an update of the endpoint list, or the complete list. An endpoint that was started anew begins
     * without results.
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

    /** The zone of an endpoint, or null if it is not listed. */
    String zoneOf(String endpoint) {
        EndpointHealth known = endpoints.get(endpoint);
        return known == null ? null : known.endpoint.zone();
    }

    /** The zones that have a ready endpoint by the list. */
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
     * @param paidByToken whether a token of a quota grant paid for it
     */
    void onAttemptSent(String endpoint, boolean paidByToken, long now) {
        String zone = zoneOf(endpoint);
        if (zone != null) {
            (paidByToken ? zoneHealth(zone).quotaCalls : zoneHealth(zone).nonQuotaCalls).increment(now);
        }
    }

    /** Records how an attempt that was sent at {@code sentAt} ended. */
    void onAttemptEnded(String endpoint, CallResult result, boolean late, long sentAt, long now) {
        EndpointHealth known = endpoints.get(endpoint);
        if (known == null) {
            return;
        }
        boolean failed = result == CallResult.FAILED;
        if (failed && known.lastAnswerAt > sentAt) {
            // The endpoint has answered another attempt since this one was sent: it is late rather than down.
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
     * The observations by zone.
     *
     * @param capacityPerWeight what an endpoint of weight 1 bears, in calls per second
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
     * The fraction of late attempts. One attempt per second is added to the total: as both rates decay alike,
     * a zone that nothing is sent to any more would otherwise stay late forever.
     */
    static double lateFraction(double lateRate, double attemptRate) {
        return Math.min(1, lateRate / (attemptRate + 1));
    }

    /**
     * The state of a zone by this node's report only.
     *
     * @param similarNodes number of nodes, with this one, that are assumed to send the same load
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
