package weldhitch.fleet.locality;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import weldhitch.fleet.locality.FleetView.ZoneLoad;

/**
 * Merges the nodes' reports on zones and grants quotas. Owned by the leading coordinator and kept in memory only:
 * reports arrive again within a second, and grants expire by themselves. Not thread-safe; times are nanoseconds of the
 * coordinator's clock.
 */
public final class ZoneLoadAggregator {
    /** The age above which a report no longer counts. */
    static final long MAX_REPORT_AGE = 2_000_000_000L;
    /** How long a grant may be used at most. */
    public static final long GRANT_DURATION = 2_000_000_000L;
    /** How long merged reports are reused before they are merged again for a response. */
    private static final long MERGE_INTERVAL = 20_000_000L;

    /** A node's latest report and the time of its arrival. */
    private record ReceivedReport(NodeLoadReport report, long receivedAt) {}

    /**
     * A zone's load according to all fresh reports.
     *
     * @param nonQuotaCallRate rate of all nodes' calls that are not paid for by quota grants, in calls per second
     */
    private record MergedZone(ZoneLoad load, double nonQuotaCallRate) {}

    private final long grantsAllowedFrom;
    private final double maxClockDrift;
    private final QuotaAllocator quotaAllocator;
    private final Map<String, ReceivedReport> reportsByNode = new TreeMap<>();
    private Map<String, MergedZone> mergedZones = Map.of();
    private long mergedAt = Long.MIN_VALUE;
    private int reporterCount;
    private double targetUtilization = 1;
    private double maxLateFraction = 1;

    /**
     * Creates an aggregator without reports.
     *
     * @param leadingSince time at which this coordinator became the leader. Grants of the previous leader may be used
     *     for up to {@link #GRANT_DURATION} after that, so no grants are issued during this time
     * @param maxClockDrift fraction by which clocks may run fast or slow
     */
    public ZoneLoadAggregator(long leadingSince, double maxClockDrift) {
        this(leadingSince, maxClockDrift, ReplacedGrants.COUNTED_UNTIL_EXPIRY);
    }

    /** Creates an aggregator without reports that uses the given policy for replaced grants. */
    ZoneLoadAggregator(long leadingSince, double maxClockDrift, ReplacedGrants replacedGrants) {
        grantsAllowedFrom = leadingSince + GRANT_DURATION;
        this.maxClockDrift = maxClockDrift;
        quotaAllocator = new QuotaAllocator(GRANT_DURATION, replacedGrants);
    }

    /** Records a node's report; null if the node no longer has one. */
    public void onReport(String node, NodeLoadReport report, long now) {
        if (report == null) {
            removeNode(node);
            return;
        }
        reportsByNode.put(node, new ReceivedReport(report, now));
        report.zones()
                .keySet()
                .forEach(zone -> quotaAllocator.updateDemand(
                        node, zone, report.spillDemand().getOrDefault(zone, 0.0)));
        report.spillDemand().forEach((zone, callsPerSecond) -> quotaAllocator.updateDemand(node, zone, callsPerSecond));
    }

    private void removeNode(String node) {
        reportsByNode.remove(node);
        quotaAllocator.removeNode(node);
    }

    /**
     * Returns the view to send to a node now, with its quota grants.
     *
     * @param memberCount number of registered nodes. If fewer than half of them have reported, nothing is merged; if
     *     not all have reported, the calls of the others are extrapolated
     */
    public FleetView viewFor(String node, int memberCount, long now) {
        merge(memberCount, now);
        Map<String, ZoneLoad> zones = new TreeMap<>();
        mergedZones.forEach((zone, mergedZone) -> zones.put(zone, mergedZone.load));
        Map<String, Double> grants = new TreeMap<>();
        ReceivedReport lastReport = reportsByNode.get(node);
        if (lastReport != null && now >= grantsAllowedFrom && !mergedZones.isEmpty()) {
            lastReport.report.spillDemand().forEach((zone, callsPerSecond) -> {
                MergedZone mergedZone = mergedZones.get(zone);
                if (callsPerSecond > 0 && mergedZone != null) {
                    grants.put(zone, quotaAllocator.grant(node, zone, headroom(mergedZone), now));
                }
            });
        }
        return new FleetView(
                zones, grants, (long) (GRANT_DURATION * (1 - 2 * maxClockDrift)), reporterCount, memberCount);
    }

    /**
     * Returns the rate that a zone can serve in addition to the calls not paid for by quota grants, up to the target
     * utilization; the more of its answers are late, the lower this rate.
     */
    private double headroom(MergedZone mergedZone) {
        double targetLoad = targetUtilization * mergedZone.load.capacity() * mergedZone.load.healthyFraction();
        return Math.max(0, targetLoad - mergedZone.nonQuotaCallRate)
                * Math.max(0, 1 - mergedZone.load.lateFraction() / maxLateFraction);
    }

    private void merge(int memberCount, long now) {
        if (mergedAt != Long.MIN_VALUE && now - mergedAt < MERGE_INTERVAL) {
            return;
        }
        mergedAt = now;
        reportsByNode.entrySet().removeIf(entry -> {
            boolean expired = now - entry.getValue().receivedAt > MAX_REPORT_AGE;
            if (expired) {
                quotaAllocator.removeNode(entry.getKey());
            }
            return expired;
        });
        reporterCount = reportsByNode.size();
        if (reporterCount == 0 || 2 * reporterCount < memberCount) {
            mergedZones = Map.of();
            return;
        }
        targetUtilization = reportsByNode.values().stream()
                .mapToDouble(received -> received.report.targetUtilization())
                .min()
                .orElse(1);
        maxLateFraction = reportsByNode.values().stream()
                .mapToDouble(received -> received.report.maxLateFraction())
                .min()
                .orElse(1);
        Map<String, MergedZone> nextZones = new LinkedHashMap<>();
        reportsByNode.values().stream()
                .flatMap(received -> received.report.zones().keySet().stream())
                .distinct()
                .sorted()
                .forEach(zone ->
                        nextZones.put(zone, merge(zone, Math.max(1, (double) memberCount / reporterCount), now)));
        mergedZones = nextZones;
    }

    private MergedZone merge(String zone, double scale, long now) {
        double[] capacities = reportsByNode.values().stream()
                .map(received -> received.report.zones().get(zone))
                .mapToDouble(report -> report == null ? 0 : report.capacity())
                .sorted()
                .toArray();
        // The median, so that one node with a different list does not change the value.
        double capacity = capacities[capacities.length / 2];
        double observedWeight = sumOverReports(zone, ZoneLoadReport::observedWeight);
        double attemptRate = sumOverReports(zone, ZoneLoadReport::attemptRate);
        double healthyFraction = capacity <= 0
                ? 0
                : observedWeight <= 0 ? 1 : 1 - sumOverReports(zone, ZoneLoadReport::failingWeight) / observedWeight;
        double nonQuotaCallRate = scale * sumOverReports(zone, ZoneLoadReport::nonQuotaCallRate);
        double healthyCapacity = capacity * healthyFraction;
        double utilization = healthyCapacity <= 0 ? 0 : nonQuotaCallRate / healthyCapacity;
        // A node that does not report has no grant, so this part is not extrapolated.
        double totalUtilization = healthyCapacity <= 0
                ? 0
                : utilization + sumOverReports(zone, ZoneLoadReport::quotaCallRate) / healthyCapacity;
        long maxReportAge = reportsByNode.values().stream()
                .mapToLong(received -> now - received.receivedAt)
                .max()
                .orElse(0);
        return new MergedZone(
                new ZoneLoad(
                        healthyFraction,
                        utilization,
                        totalUtilization,
                        LocalZoneHealth.lateFraction(sumOverReports(zone, ZoneLoadReport::lateRate), attemptRate),
                        capacity,
                        maxReportAge),
                nonQuotaCallRate);
    }

    private double sumOverReports(String zone, ToDoubleFunction<ZoneLoadReport> metric) {
        return reportsByNode.values().stream()
                .map(received -> received.report.zones().get(zone))
                .mapToDouble(report -> report == null ? 0 : metric.applyAsDouble(report))
                .sum();
    }

    /** Returns the present load of the zones for display; empty if too few nodes have reported. */
    public Map<String, ZoneLoad> zoneLoads(int memberCount, long now) {
        merge(memberCount, now);
        Map<String, ZoneLoad> zones = new TreeMap<>();
        mergedZones.forEach((zone, mergedZone) -> zones.put(zone, mergedZone.load));
        return zones;
    }

    /**
     * Returns the maximum rate that all nodes together may be sending to the zone now under their grants, in calls per
     * second.
     */
    public double outstandingGrants(String zone, long now) {
        return quotaAllocator.outstanding(zone, now);
    }
}
