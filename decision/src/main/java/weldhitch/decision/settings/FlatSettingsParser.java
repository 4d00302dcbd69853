package weldhitch.decision.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Parses balancer settings from flat paths such as {@code limits.maxAttempts}. The simulator's wire protocol has this
 * form, and a node's configuration is flattened to it, so that both are interpreted in the same way. Unknown paths are
 * ignored. Immutable; used by the node's configuration and the simulator adapter.
 */
public final class FlatSettingsParser {
    private static final Map<String, Idempotency> IDEMPOTENCY_BY_NAME = Map.of(
            "read_like",
            Idempotency.IDEMPOTENT,
            "idempotency_key",
            Idempotency.IDEMPOTENCY_KEY,
            "non_idempotent",
            Idempotency.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> SCOPES_BY_NAME =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);
    private static final Map<String, WeightKind> WEIGHT_KINDS_BY_NAME = Map.of(
            "off",
            WeightKind.NONE,
            "nominal",
            WeightKind.NOMINAL,
            "rough",
            WeightKind.APPROXIMATE,
            "live",
            WeightKind.LIVE);
    private static final Map<String, LoadReportField> LOAD_FIELDS_BY_NAME = Map.of(
            "outstanding",
            LoadReportField.IN_FLIGHT,
            "backlog",
            LoadReportField.QUEUE_LENGTH,
            "utilization",
            LoadReportField.UTILIZATION,
            "recent_ms",
            LoadReportField.LATENCY_MS,
            "throughput",
            LoadReportField.THROUGHPUT,
            "errors_per_s",
            LoadReportField.ERRORS_PER_SECOND);

    private final Map<String, String> valuesByPath;

    /** Creates a parser for values by path. */
    public FlatSettingsParser(Map<String, String> valuesByPath) {
        this.valuesByPath = Map.copyOf(valuesByPath);
    }

    /** Thrown if a setting cannot be parsed. Values out of range are rejected by the settings records instead. */
    public static final class MalformedSettingException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        MalformedSettingException(String path, String value, String expected) {
            super("setting " + path + ": found " + value + ", expected " + expected);
        }
    }

    /** Returns the balancer's settings, with defaults for settings that are not given. */
    public BalancerSettings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("classes"); i++) {
            String prefix = "classes." + i + ".";
            classes.add(new RequestClass(
                    text(prefix + "name", ""),
                    choice(prefix + "effect", IDEMPOTENCY_BY_NAME, Idempotency.NON_IDEMPOTENT),
                    choice(prefix + "group", SCOPES_BY_NAME, DeduplicationScope.ALL),
                    durationNanos(prefix + "memorySpanS"),
                    durationNanos(prefix + "aimS"),
                    number(prefix + "aimStretch", 0),
                    durationNanos(prefix + "deadlineS"),
                    number(prefix + "worth", 1),
                    number(prefix + "lateWorth", 0),
                    flag(prefix + "streamed", false)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("customers"); i++) {
            String prefix = "customers." + i + ".";
            tenants.add(new Tenant(text(prefix + "name", ""), number(prefix + "quotaPerS", 0)));
        }
        List<LoadReportField> loadFields = new ArrayList<>();
        for (String field : list("report.fields")) {
            loadFields.add(LOAD_FIELDS_BY_NAME.getOrDefault(field, LoadReportField.OTHER));
        }
        PlatformLimits limits = new PlatformLimits(
                (int) number("limits.maxAttempts", 1),
                flag("limits.secondCopies", false),
                flag("limits.cancel", false),
                flag("limits.probes", false),
                flag("limits.retryAfter", false),
                durationNanos("limits.maxRetryAfterS"),
                durationNanos("limits.dialTimeoutS"));
        PlatformRules rules = new PlatformRules(
                number("rules.startCapacity", 1),
                durationNanos("rules.coldS"),
                number("rules.fallMultiple", 1),
                durationNanos("rules.overloadForS"),
                durationNanos("rules.drainGraceS"),
                durationNanos("rules.graceToAnswerS"),
                durationNanos("rules.askEveryS"));
        return new BalancerSettings(
                text("az", ""),
                list("areas"),
                (int) number("layer", 0),
                (int) number("me", 0),
                (int) number("siblings", 1),
                classes,
                tenants,
                number("overShareWorth", 1),
                text("valueBy", "request").equals("work"),
                text("membershipMode", "push").equals("ask"),
                choice("weights", WEIGHT_KINDS_BY_NAME, WeightKind.NONE),
                loadFields,
                number("prices.crossZone", 0),
                durationNanos("quantumS"),
                limits,
                rules);
    }

    /** Returns the number of elements of a list, each of which has at least one setting of its own. */
    private int count(String path) {
        String countPath = path + ".count";
        double count = number(countPath, 0);
        if (count > valuesByPath.size()) {
            throw new MalformedSettingException(
                    countPath, text(countPath, ""), "at most the number of settings, " + valuesByPath.size());
        }
        return (int) count;
    }

    private List<String> list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private String text(String path, String defaultValue) {
        String value = valuesByPath.get(path);
        return value == null || value.equals("-") ? defaultValue : value;
    }

    private double number(String path, double defaultValue) {
        String value = text(path, "");
        try {
            return value.isEmpty() ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedSettingException(path, value, "a number");
        }
    }

    /** Returns a duration in nanoseconds; the setting is in seconds, and 0 is returned if it is not given. */
    public long durationNanos(String path) {
        return Math.round(number(path, 0) * 1e9);
    }

    private boolean flag(String path, boolean defaultValue) {
        String value = text(path, "");
        return value.isEmpty() ? defaultValue : value.equals("true") || value.equals("1");
    }

    private <T> T choice(String path, Map<String, T> choicesByName, T defaultValue) {
        String value = text(path, "");
        if (value.isEmpty()) {
            return defaultValue;
        }
        T chosen = choicesByName.get(value);
        if (chosen == null) {
            throw new MalformedSettingException(
                    path, value, "one of " + String.join(", ", new TreeSet<>(choicesByName.keySet())));
        }
        return chosen;
    }
}
