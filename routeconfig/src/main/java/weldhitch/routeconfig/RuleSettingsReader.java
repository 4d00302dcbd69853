package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingDisabled;
import weldhitch.decision.routing.RoutePolicy.HedgingPolicy;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.routeconfig.RuleSection.Setting;

/**
 * Reads the settings that the defaults, a class or a route may contain. An invalid setting is reported and left out.
 * Used by {@link RouteConfigReader} for one file; not thread-safe.
 */
final class RuleSettingsReader {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_ATTEMPTS = 100;
    private static final double MAX_RATE = 1e6;
    private static final double MIN_TENANT_RATE = 0.001;
    private static final double MAX_RETRY_RATIO = 10;
    private static final double MIN_HEDGE_PERCENTILE = 50;
    private static final double MAX_HEDGE_PERCENTILE = 99;

    private final TomlValueReader values;

    /** Creates a reader that uses {@code values} to read values and report problems. */
    RuleSettingsReader(TomlValueReader values) {
        this.values = values;
    }

    /**
     * Reads the settings of one section.
     *
     * @param parentKey the section's key
     * @param source the name by which messages refer to the section
     */
    Map<RuleKey, Setting> readSettings(JsonNode table, String parentKey, String source) {
        Map<RuleKey, Setting> settings = new EnumMap<>(RuleKey.class);
        for (RuleKey ruleKey : RuleKey.values()) {
            JsonNode value = table.get(ruleKey.tomlName);
            String key = parentKey + "." + ruleKey.tomlName;
            Object parsed = value == null
                    ? null
                    : switch (ruleKey) {
                        case DEADLINE, ATTEMPT_TIMEOUT -> values.readDuration(value, key, NANOS_PER_MILLI);
                        case ATTEMPTS -> values.readInteger(value, key, 1, MAX_ATTEMPTS);
                        case BACKOFF -> readBackoff(value, key);
                        case RETRY_ON -> readOutcomes(value, key);
                        case BUDGET -> readRetryBudget(value, key);
                        case HEDGE -> readHedging(value, key);
                        case RETRY_AFTER -> readRetryAfterBounds(value, key);
                        case TENANTS -> readTenantQuotas(value, key);
                        case EXPECTED_RATE -> values.readNumber(value, key, 0, MAX_RATE);
                    };
            if (parsed != null) {
                settings.put(ruleKey, new Setting(parsed, key, values.lineOf(key), source));
            }
        }
        return settings;
    }

    private Backoff readBackoff(JsonNode value, String key) {
        if (!values.requireMembers(
                value, key, List.of("base", "max"), List.of("base", "max"), "{ base = \"20ms\", max = \"200ms\" }")) {
            return null;
        }
        Long base = values.readDuration(value.get("base"), key + ".base", NANOS_PER_MICRO);
        Long max = values.readDuration(value.get("max"), key + ".max", NANOS_PER_MICRO);
        if (base != null && max != null && max < base) {
            values.error(
                    key + ".max", "is shorter than base", "make it " + ValueFormat.formatDuration(base) + " or longer");
            return null;
        }
        return base == null || max == null ? null : new Backoff(base, max);
    }

    private Set<AttemptOutcome> readOutcomes(JsonNode value, String key) {
        if (!value.isArray()) {
            values.error(key, "is not a list", "write retry-on = [\"connect-failed\", \"full\"]");
            return null;
        }
        EnumSet<AttemptOutcome> outcomes = EnumSet.noneOf(AttemptOutcome.class);
        boolean valid = true;
        for (int i = 0; i < value.size(); i++) {
            AttemptOutcome outcome =
                    value.get(i).isTextual() ? OutcomeNames.parse(value.get(i).textValue()) : null;
            if (outcome == null) {
                values.error(
                        key + "[" + i + "]",
                        value.get(i) + " is not a retryable outcome",
                        outcomeSuggestion(value.get(i)));
                valid = false;
            } else {
                outcomes.add(outcome);
            }
        }
        return valid ? outcomes : null;
    }

    private static Supplier<String> outcomeSuggestion(JsonNode value) {
        return () -> SpellingSuggestions.suggest(value.asText(), OutcomeNames.retryableNames());
    }

    private RetryBudgetSettings readRetryBudget(JsonNode value, String key) {
        if (!values.requireMembers(
                value, key, List.of("share", "floor"), List.of("share"), "{ share = 0.1, floor = 1 }")) {
            return null;
        }
        Double retryRatio = values.readNumber(value.get("share"), key + ".share", 0, MAX_RETRY_RATIO);
        Double minRetriesPerSecond = value.has("floor")
                ? values.readNumber(value.get("floor"), key + ".floor", 0, MAX_RATE)
                : Double.valueOf(0);
        return retryRatio == null || minRetriesPerSecond == null
                ? null
                : new RetryBudgetSettings(retryRatio, minRetriesPerSecond);
    }

    private HedgingPolicy readHedging(JsonNode value, String key) {
        String example = "{ after = \"80ms\" }, { percentile = 95 } or \"off\"";
        if (value.isTextual()) {
            if (value.textValue().equals("off")) {
                return new HedgingDisabled();
            }
            values.error(key, value + " is not a hedge setting", "write hedge = " + example);
            return null;
        }
        if (!values.requireMembers(value, key, List.of("after", "percentile"), List.of(), example)) {
            return null;
        }
        if (value.has("after") == value.has("percentile")) {
            values.error(
                    key,
                    value.isEmpty() ? "sets neither after nor percentile" : "sets both after and percentile",
                    "write hedge = " + example);
            return null;
        }
        if (value.has("after")) {
            Long delay = values.readDuration(value.get("after"), key + ".after", NANOS_PER_MILLI);
            return delay == null ? null : new HedgeAfterDelay(delay);
        }
        Double percentile = values.readNumber(
                value.get("percentile"), key + ".percentile", MIN_HEDGE_PERCENTILE, MAX_HEDGE_PERCENTILE);
        return percentile == null ? null : new HedgeAtPercentile(percentile);
    }

    private RetryAfterBounds readRetryAfterBounds(JsonNode value, String key) {
        if (!values.requireMembers(
                value, key, List.of("min", "max"), List.of("max"), "{ min = \"100ms\", max = \"1s\" }")) {
            return null;
        }
        Long min = value.has("min")
                ? values.readDuration(value.get("min"), key + ".min", NANOS_PER_MILLI)
                : Long.valueOf(0);
        Long max = values.readDuration(value.get("max"), key + ".max", NANOS_PER_MILLI);
        if (min != null && max != null && max < min) {
            values.error(
                    key + ".max", "is shorter than min", "make it " + ValueFormat.formatDuration(min) + " or longer");
            return null;
        }
        return min == null || max == null ? null : new RetryAfterBounds(min, max);
    }

    private Map<String, Double> readTenantQuotas(JsonNode value, String key) {
        if (!values.requireTable(value, key)) {
            return null;
        }
        Map<String, Double> quotas = new LinkedHashMap<>();
        boolean valid = true;
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            Double perSecond =
                    values.readNumber(entry.getValue(), key + "." + entry.getKey(), MIN_TENANT_RATE, MAX_RATE);
            valid &= perSecond != null;
            quotas.put(entry.getKey(), perSecond);
        }
        return valid ? quotas : null;
    }
}
