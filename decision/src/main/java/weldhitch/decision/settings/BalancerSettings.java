package weldhitch.decision.settings;

import java.util.List;
import java.util.Objects;

/**
 * The settings of one balancer node.
 *
 * @param tier the node's tier; only nodes of the first tier, 0, limit admission
 * @param nodeIndex the node's index among all nodes, from 0
 * @param nodeCount the number of nodes, this one included
 * @param overQuotaWeight the factor on the priority weight of a tenant's requests above its quota
 * @param weightByCost whether the priority weight of a request is multiplied by its cost hint
 * @param pollsEndpoints whether the node polls for endpoint updates
 * @param weightKind the meaning of endpoint weights
 * @param loadReportFields the fields of a load report
 * @param crossZoneCost the cost of a call to another zone
 * @param clockResolution the clock resolution in nanoseconds: the smallest difference between the times of two events
 */
public record BalancerSettings(
        String zone,
        List<String> zones,
        int tier,
        int nodeIndex,
        int nodeCount,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overQuotaWeight,
        boolean weightByCost,
        boolean pollsEndpoints,
        WeightKind weightKind,
        List<LoadReportField> loadReportFields,
        double crossZoneCost,
        long clockResolution,
        PlatformLimits limits,
        PlatformRules rules) {
    public BalancerSettings {
        zones = List.copyOf(zones);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        loadReportFields = List.copyOf(loadReportFields);
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(rules, "rules");
        Objects.requireNonNull(weightKind, "weights");
        SettingRange.require(
                zones.size() < 2 || (zone != null && !zone.isEmpty()),
                "zone",
                zone,
                "the zone of this node, because there are several zones");
        SettingRange.require(tier >= 0, "tier", tier, "0 or more");
        SettingRange.require(nodeCount >= 1, "siblings", nodeCount, "1 or more");
        SettingRange.require(nodeIndex >= 0, "self", nodeIndex, "0 or more");
        SettingRange.require(!classes.isEmpty(), "classes", "none", "one class or more");
        SettingRange.require(overQuotaWeight >= 0, "overShareWorth", overQuotaWeight, "0 or more");
        SettingRange.require(crossZoneCost >= 0, "crossZonePrice", crossZoneCost, "0 or more");
        SettingRange.require(clockResolution >= 0, "tick", clockResolution, "0 or more");
    }
}
