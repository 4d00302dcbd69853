package weldhitch.routeconfig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingDisabled;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable.Route;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.routeconfig.RouteConfig.EffectiveRule;
import weldhitch.routeconfig.RouteConfig.Explanation;
import weldhitch.routeconfig.RuleSection.Setting;

/** Formats the settings that are in effect for a request, for people. Owned by {@link RouteConfig}; immutable. */
final class RouteExplainer {
    private final BalancerSettings platform;

    /** Creates an explainer; {@code platform} is null if the platform's settings are not known. */
    RouteExplainer(BalancerSettings platform) {
        this.platform = platform;
    }

    /**
     * Returns the route and the effective settings of one request.
     *
     * @param route the route that matches the request; null if there is none
     * @param settings the settings that the file contains for that route
     * @param requestClass the request's class
     */
    Explanation explain(Route route, Map<RuleKey, Setting> settings, String requestClass) {
        List<EffectiveRule> effectiveRules = new ArrayList<>();
        for (RuleKey key : RuleKey.values()) {
            Setting setting = settings.get(key);
            if (key != RuleKey.EXPECTED_RATE) {
                effectiveRules.add(
                        setting == null
                                ? new EffectiveRule(key.tomlName, platformDefault(key, requestClass), "platform")
                                : new EffectiveRule(
                                        key.tomlName,
                                        formatValue(setting.value()),
                                        setting.source() + ", line " + setting.line()));
            }
        }
        return new Explanation(route == null ? null : route.group(), effectiveRules);
    }

    /**
     * Returns the value in effect if the file does not contain the setting; {@code -} if the node determines the value
     * or the platform's settings are not known.
     */
    private String platformDefault(RuleKey key, String requestClass) {
        if (platform == null) {
            return "-";
        }
        return switch (key) {
            case DEADLINE ->
                platform.classes().stream()
                        .filter(candidate -> candidate.name().equals(requestClass))
                        .map(candidate -> ValueFormat.formatDuration(candidate.deadline()))
                        .findFirst()
                        .orElse("-");
            case ATTEMPTS -> Integer.toString(platform.limits().maxAttempts());
            case HEDGE -> platform.limits().hedgingAllowed() ? "-" : "off";
            case RETRY_AFTER ->
                platform.limits().retryAfterAllowed()
                        ? "min 0us, max "
                                + ValueFormat.formatDuration(platform.limits().maxRetryAfter())
                        : "none";
            default -> "-";
        };
    }

    private static String formatValue(Object value) {
        if (value instanceof Long nanos) {
            return ValueFormat.formatDuration(nanos);
        }
        if (value instanceof Backoff backoff) {
            return "base " + ValueFormat.formatDuration(backoff.base()) + ", max "
                    + ValueFormat.formatDuration(backoff.max());
        }
        if (value instanceof RetryAfterBounds bounds) {
            return "min " + ValueFormat.formatDuration(bounds.min()) + ", max "
                    + ValueFormat.formatDuration(bounds.max());
        }
        if (value instanceof RetryBudgetSettings budget) {
            return "share " + ValueFormat.formatNumber(budget.retryRatio()) + ", floor "
                    + ValueFormat.formatNumber(budget.minRetriesPerSecond()) + " a second";
        }
        if (value instanceof HedgeAfterDelay fixedDelay) {
            return "after " + ValueFormat.formatDuration(fixedDelay.delay());
        }
        if (value instanceof HedgeAtPercentile hedge) {
            return "after percentile " + ValueFormat.formatNumber(hedge.percentile());
        }
        if (value instanceof Set<?> outcomes) {
            return String.join(
                    ", ",
                    OutcomeNames.namesOf(
                            outcomes.stream().map(AttemptOutcome.class::cast).collect(Collectors.toSet())));
        }
        return value instanceof HedgingDisabled ? "off" : String.valueOf(value);
    }
}
