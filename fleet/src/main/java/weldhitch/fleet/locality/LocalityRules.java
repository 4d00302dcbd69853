package weldhitch.fleet.locality;

import java.util.List;
import java.util.Objects;

/**
 * All locality rules of a route configuration or route version. Immutable.
 *
 * @param regions the regions that rules may name
 * @param capacityPerWeight capacity of an endpoint of weight 1, in calls per second
 * @param rules the rules in the order of the file; the first one that matches a request applies
 */
public record LocalityRules(Regions regions, double capacityPerWeight, List<LocalityRule> rules) {
    /** Copies the list, so that the record stays immutable, and requires a positive and finite capacity. */
    public LocalityRules {
        rules = List.copyOf(rules);
        if (!(capacityPerWeight > 0) || Double.isInfinite(capacityPerWeight)) {
            throw new IllegalArgumentException("capacityPerWeight must be above 0 and finite: " + capacityPerWeight);
        }
    }

    /** Returns the rule for a request, or null. {@code route} may be null if {@link #needsRoute} is false. */
    public LocalityRule ruleFor(String requestClass, String tenant, String route) {
        for (LocalityRule rule : rules) {
            if (rule.match().matches(requestClass, tenant, route)) {
                return rule;
            }
        }
        return null;
    }

    /** Returns whether any rule matches by route. */
    public boolean needsRoute() {
        return rules.stream().anyMatch(rule -> rule.match().route() != null);
    }

    /**
     * Returns the maximum utilization to which traffic from other zones may raise a zone: the lowest at which any rule
     * regards a level as short of capacity.
     */
    double targetUtilization() {
        return rules.stream()
                .mapToDouble(rule -> rule.spillPolicy().utilization().begin())
                .min()
                .orElse(1);
    }

    /** Returns the fraction of late attempts from which on a zone receives no traffic from other zones. */
    double maxLateFraction() {
        return rules.stream()
                .mapToDouble(rule -> rule.spillPolicy().lateFraction().begin())
                .min()
                .orElse(1);
    }

    /**
     * Returns whether two sets of rules treat a request differently.
     *
     * @param firstRules the first set; null for no rules
     * @param firstRule the request's rule in the first set, or null
     * @param secondRules the second set; null for no rules
     * @param secondRule the request's rule in the second set, or null
     */
    public static boolean differ(
            LocalityRules firstRules, LocalityRule firstRule, LocalityRules secondRules, LocalityRule secondRule) {
        return !Objects.equals(firstRule, secondRule)
                || firstRule != null
                        && !(firstRules.regions.equals(secondRules.regions)
                                && firstRules.capacityPerWeight == secondRules.capacityPerWeight);
    }
}
