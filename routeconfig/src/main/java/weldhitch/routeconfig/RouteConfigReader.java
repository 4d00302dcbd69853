package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingDisabled;
import weldhitch.decision.routing.RoutePolicy.HedgingPolicy;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.routeconfig.RuleSection.Kind;
import weldhitch.routeconfig.RuleSection.Setting;

/**
 * Reads sections from a parsed TOML document. A problem is reported and its setting left out, so that one
 * pass finds all problems. Used by {@link RouteConfig} and the section readers for one file; not
 * thread-safe.
 */
final class RouteConfigReader {
    static final int MAX_ROUTES = 5000;
    private static final long MAX_DURATION = 60_000_000_000L;
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,9})?)(us|ms|s|m|h)");
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9_.-]{1,64}");
    private static final Map<String, Long> NANOS_PER_UNIT =
            Map.of("us", 1_000L, "ms", 1_000_000L, "s", 1_000_000_000L, "m", 60_000_000_000L, "h", 3_600_000_000_000L);
    private static final List<String> TOP_LEVEL_KEYS =
            List.of("version", "capture", "fleet", "zones", "locality", "defaults", "class", "route");
    private static final List<String> MATCH_KEYS = List.of("name", "class", "method", "path", "prefix");
    private static final List<String> METHODS = List.of("GET", "POST");
    private static final List<String> RULE_KEYS =
            Arrays.stream(RuleKey.values()).map(k -> k.tomlName).toList();

    private final String file;
    private final TomlLineIndex lineIndex;
    private final List<ConfigProblem> problems;

    /** Creates a reader that adds to {@code problems}. */
    RouteConfigReader(String file, TomlLineIndex lineIndex, List<ConfigProblem> problems) {
        this.file = file;
        this.lineIndex = lineIndex;
        this.problems = problems;
    }

    /** Reads the defaults, classes and routes, in this order. */
    List<RuleSection> read(JsonNode root) {
        requireKnownKeys(root, "", TOP_LEVEL_KEYS);
        JsonNode version = root.get("version");
        if (version == null) {
            error("version", "is missing", "write version = 1 at the top");
        } else if (!version.isInt() || version.intValue() != 1) {
            error("version", "is " + version + ", which this program does not know", "write version = 1");
        }
        List<RuleSection> sections = new ArrayList<>();
        if (requireTable(root.get("defaults"), "defaults")) {
            requireKnownKeys(root.get("defaults"), "defaults", RULE_KEYS);
            sections.add(new RuleSection(
                    Kind.DEFAULTS,
                    "defaults",
                    "defaults",
                    RoutePattern.ALL,
                    readSettings(root.get("defaults"), "defaults", "defaults")));
        }
        if (requireTable(root.get("class"), "class")) {
            root.get("class").properties().forEach(entry -> {
                String key = "class." + entry.getKey();
                if (requireTable(entry.getValue(), key)) {
                    requireKnownKeys(entry.getValue(), key, RULE_KEYS);
                    sections.add(new RuleSection(
                            Kind.CLASS,
                            key,
                            entry.getKey(),
                            new RoutePattern(entry.getKey(), null, List.of(), true),
                            readSettings(entry.getValue(), key, "class " + entry.getKey())));
                }
            });
        }
        readRoutes(root.get("route"), sections);
        return sections;
    }

    private void readRoutes(JsonNode routes, List<RuleSection> sections) {
        if (routes == null) {
            return;
        }
        if (!routes.isArray()) {
            error("route", "is not a list of tables", "write [[route]] before each route");
            return;
        }
        if (routes.size() > MAX_ROUTES) {
            error("route", "there are " + routes.size() + " routes", "keep to " + MAX_ROUTES);
            return;
        }
        Map<String, Integer> lineByName = new HashMap<>();
        for (int i = 0; i < routes.size(); i++) {
            String key = "route[" + i + "]";
            JsonNode route = routes.get(i);
            if (!requireTable(route, key)) {
                continue;
            }
            requireKnownKeys(
                    route,
                    key,
                    Stream.concat(MATCH_KEYS.stream(), RULE_KEYS.stream()).toList());
            String name = readText(route, key, "name");
            if (name == null && route.get("name") == null) {
                error(key, "has no name", "give each route a name of its own, such as name = \"cancel\"");
            } else if (name != null && !NAME_PATTERN.matcher(name).matches()) {
                error(key + ".name", "\"" + name + "\" is no name", "use 1 to 64 letters, digits, dots, - and _");
            } else if (name != null && lineByName.putIfAbsent(name, lineIndex.lineOf(key)) != null) {
                error(
                        key + ".name",
                        "\"" + name + "\" is the name of the route on line " + lineByName.get(name) + " too",
                        "give each route a name of its own");
            }
            RoutePattern pattern = readPattern(route, key);
            Map<RuleKey, Setting> settings = readSettings(route, key, "route " + name);
            if (pattern != null && name != null) {
                sections.add(new RuleSection(Kind.ROUTE, key, name, pattern, settings));
            }
        }
    }

    private RoutePattern readPattern(JsonNode route, String key) {
        String requestClass = readText(route, key, "class");
        String method = readText(route, key, "method");
        if (method != null && !METHODS.contains(method)) {
            error(
                    key + ".method",
                    "\"" + method + "\" is not taken by the node",
                    SpellingSuggestions.suggest(method.toUpperCase(Locale.ROOT), METHODS));
            return null;
        }
        if (route.has("path") && route.has("prefix")) {
            error(key + ".prefix", "stands beside path", "give one of the two");
            return null;
        }
        boolean prefix = !route.has("path");
        String path = readText(route, key, prefix ? "prefix" : "path");
        if (path == null) {
            if (requestClass == null
                    && method == null
                    && !route.has("path")
                    && !route.has("prefix")
                    && !route.has("class")
                    && !route.has("method")) {
                error(key, "matches every request", "give it a class, method, path or prefix, or use [defaults]");
                return null;
            }
            return new RoutePattern(requestClass, method, List.of(), true);
        }
        String pathKey = key + (prefix ? ".prefix" : ".path");
        List<String> segments = readPathSegments(path, pathKey, !prefix);
        if (segments == null) {
            return null;
        }
        if (!segments.isEmpty() && segments.get(0) != null) {
            // The first segment of a path is the request's class.
            if (requestClass != null && !requestClass.equals(segments.get(0))) {
                error(
                        pathKey,
                        "no request of class " + requestClass + " has it: a path begins with its class",
                        "begin it with /" + requestClass + " or leave class out");
                return null;
            }
            requestClass = segments.get(0);
        }
        return new RoutePattern(requestClass, method, segments, prefix);
    }

    private List<String> readPathSegments(String path, String key, boolean templateAllowed) {
        if (!path.startsWith("/")
                || path.contains("?")
                || path.contains("#")
                || path.contains("//")
                || !path.chars().allMatch(c -> c > ' ' && c < 127)) {
            error(key, "\"" + path + "\" is no path", "begin with /, without query, spaces and empty parts");
            return null;
        }
        List<String> segments = new ArrayList<>();
        for (String segment : path.substring(1).split("/")) {
            boolean isVariable = segment.startsWith("{") && segment.endsWith("}") && segment.length() > 2;
            if (!isVariable && (segment.contains("{") || segment.contains("}") || segment.contains("*"))
                    || isVariable && !templateAllowed) {
                error(
                        key,
                        "\"" + segment + "\" is no part of a " + (templateAllowed ? "template" : "prefix"),
                        templateAllowed
                                ? "write {name} for a whole part"
                                : "write out each part, or use path for a template");
                return null;
            }
            if (!segment.isEmpty()) {
                segments.add(isVariable ? null : segment);
            }
        }
        return segments;
    }

    private Map<RuleKey, Setting> readSettings(JsonNode table, String parentKey, String source) {
        Map<RuleKey, Setting> settings = new EnumMap<>(RuleKey.class);
        for (RuleKey ruleKey : RuleKey.values()) {
            JsonNode value = table.get(ruleKey.tomlName);
            String key = parentKey + "." + ruleKey.tomlName;
            Object parsed = value == null
                    ? null
                    : switch (ruleKey) {
                        case DEADLINE, ATTEMPT_TIMEOUT -> readDuration(value, key, 1_000_000L);
                        case ATTEMPTS -> readInteger(value, key, 1, 100);
                        case BACKOFF -> readBackoff(value, key);
                        case RETRY_ON -> readOutcomes(value, key);
                        case BUDGET -> readRetryBudget(value, key);
                        case HEDGE -> readHedging(value, key);
                        case RETRY_AFTER -> readRetryAfterBounds(value, key);
                        case TENANTS -> readTenantQuotas(value, key);
                        case EXPECTED_RATE -> readNumber(value, key, 0, 1e6);
                    };
            if (parsed != null) {
                settings.put(ruleKey, new Setting(parsed, key, lineIndex.lineOf(key), source));
            }
        }
        return settings;
    }

    // ---- rules ----

    private Backoff readBackoff(JsonNode value, String key) {
        if (!requireMembers(
                value, key, List.of("base", "max"), List.of("base", "max"), "{ base = \"20ms\", max = \"200ms\" }")) {
            return null;
        }
        Long base = readDuration(value.get("base"), key + ".base", 1_000L);
        Long max = readDuration(value.get("max"), key + ".max", 1_000L);
        if (base != null && max != null && max < base) {
            error(key + ".max", "is shorter than base", "make it " + ValueFormat.formatDuration(base) + " or longer");
            return null;
        }
        return base == null || max == null ? null : new Backoff(base, max);
    }

    private Set<AttemptOutcome> readOutcomes(JsonNode value, String key) {
        if (!value.isArray()) {
            error(key, "is not a list", "write retry-on = [\"connect-failed\", \"full\"]");
            return null;
        }
        EnumSet<AttemptOutcome> outcomes = EnumSet.noneOf(AttemptOutcome.class);
        boolean valid = true;
        for (int i = 0; i < value.size(); i++) {
            AttemptOutcome outcome =
                    value.get(i).isTextual() ? OutcomeNames.parse(value.get(i).textValue()) : null;
            if (outcome == null) {
                error(
                        key + "[" + i + "]",
                        value.get(i) + " is no outcome",
                        SpellingSuggestions.suggest(value.get(i).asText(), OutcomeNames.retryableNames()));
                valid = false;
            } else {
                outcomes.add(outcome);
            }
        }
        return valid ? outcomes : null;
    }

    private RetryBudgetSettings readRetryBudget(JsonNode value, String key) {
        if (!requireMembers(value, key, List.of("share", "floor"), List.of("share"), "{ share = 0.1, floor = 1 }")) {
            return null;
        }
        Double retryRatio = readNumber(value.get("share"), key + ".share", 0, 10);
        Double minRetriesPerSecond =
                value.has("floor") ? readNumber(value.get("floor"), key + ".floor", 0, 1e6) : Double.valueOf(0);
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
            error(key, value + " is no hedge", "write hedge = " + example);
            return null;
        }
        if (!requireMembers(value, key, List.of("after", "percentile"), List.of(), example)) {
            return null;
        }
        if (value.has("after") == value.has("percentile")) {
            error(
                    key,
                    value.isEmpty() ? "says neither after nor percentile" : "says both after and percentile",
                    "write hedge = " + example);
            return null;
        }
        if (value.has("after")) {
            Long delay = readDuration(value.get("after"), key + ".after", 1_000_000L);
            return delay == null ? null : new HedgeAfterDelay(delay);
        }
        Double percentile = readNumber(value.get("percentile"), key + ".percentile", 50, 99);
        return percentile == null ? null : new HedgeAtPercentile(percentile);
    }

    private RetryAfterBounds readRetryAfterBounds(JsonNode value, String key) {
        if (!requireMembers(value, key, List.of("min", "max"), List.of("max"), "{ min = \"100ms\", max = \"1s\" }")) {
            return null;
        }
        Long min = value.has("min") ? readDuration(value.get("min"), key + ".min", 1_000_000L) : Long.valueOf(0);
        Long max = readDuration(value.get("max"), key + ".max", 1_000_000L);
        if (min != null && max != null && max < min) {
            error(key + ".max", "is shorter than min", "make it " + ValueFormat.formatDuration(min) + " or longer");
            return null;
        }
        return min == null || max == null ? null : new RetryAfterBounds(min, max);
    }

    private Map<String, Double> readTenantQuotas(JsonNode value, String key) {
        if (!requireTable(value, key)) {
            return null;
        }
        Map<String, Double> quotas = new LinkedHashMap<>();
        boolean valid = true;
        for (Map.Entry<String, JsonNode> entry : value.properties()) {
            Double perSecond = readNumber(entry.getValue(), key + "." + entry.getKey(), 0.001, 1e6);
            valid &= perSecond != null;
            quotas.put(entry.getKey(), perSecond);
        }
        return valid ? quotas : null;
    }

    // ---- values ----

    private Long readDuration(JsonNode value, String key, long min) {
        return readDuration(value, key, min, MAX_DURATION);
    }

    /**
     * Nanoseconds from a text such as {@code "250ms"}; null, with a problem, if it is not a duration from
     * {@code min} to {@code max}.
     */
    Long readDuration(JsonNode value, String key, long min, long max) {
        Matcher matcher = value.isTextual() ? DURATION_PATTERN.matcher(value.textValue()) : null;
        if (matcher == null || !matcher.matches()) {
            error(
                    key,
                    value + (value.isNumber() ? " has no unit" : " is no span of time"),
                    value.isNumber()
                            ? "write \"" + value + "ms\" or \"" + value + "s\""
                            : "write a number and us, ms, s or m, such as \"250ms\"");
            return null;
        }
        double nanos = Double.parseDouble(matcher.group(1)) * NANOS_PER_UNIT.get(matcher.group(2));
        if (nanos < min || nanos > max) {
            error(
                    key,
                    value + " is out of range",
                    "from " + ValueFormat.formatDuration(min) + " to " + ValueFormat.formatDuration(max));
            return null;
        }
        return (long) nanos;
    }

    /** A whole number from {@code min} to {@code max}; null, with a problem, for anything else. */
    Integer readInteger(JsonNode value, String key, int min, int max) {
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < min || value.intValue() > max) {
            error(
                    key,
                    value + " is not a whole number from " + min + " to " + max,
                    "write one of these, without quotes");
            return null;
        }
        return value.intValue();
    }

    /** A number from {@code min} to {@code max}; null, with a problem, for anything else. */
    Double readNumber(JsonNode value, String key, double min, double max) {
        if (!value.isNumber() || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
            error(
                    key,
                    value + " is not a number from " + ValueFormat.formatNumber(min) + " to "
                            + ValueFormat.formatNumber(max),
                    "write one of these, without quotes");
            return null;
        }
        return value.doubleValue();
    }

    /** A text that is not empty; null if the key is absent or, with a problem, for anything else. */
    String readText(JsonNode table, String parentKey, String name) {
        JsonNode value = table.get(name);
        if (value == null) {
            return null;
        }
        if (!value.isTextual() || value.textValue().isEmpty()) {
            error(parentKey + "." + name, value + " is no text", "write " + name + " = \"...\"");
            return null;
        }
        return value.textValue();
    }

    /** Whether the value is a table; an absent value is not, without a problem. */
    boolean requireTable(JsonNode value, String key) {
        if (value != null && !value.isObject()) {
            error(key, value + " is no table", "write [" + key + "] and its rules below it");
        }
        return value != null && value.isObject();
    }

    /** Whether the value is a table with all needed keys and no unknown ones; reports what is not so. */
    boolean requireMembers(
            JsonNode value, String key, List<String> knownKeys, List<String> requiredKeys, String example) {
        if (!value.isObject()) {
            error(key, value + " is no table", "write " + example);
            return false;
        }
        boolean valid = requireKnownKeys(value, key, knownKeys);
        for (String requiredKey : requiredKeys) {
            if (!value.has(requiredKey)) {
                error(key, requiredKey + " is missing", "write " + example);
                valid = false;
            }
        }
        return valid;
    }

    /** Whether a table has no unknown keys; reports those that it has. */
    boolean requireKnownKeys(JsonNode table, String parentKey, Collection<String> knownKeys) {
        boolean valid = true;
        for (Map.Entry<String, JsonNode> entry : table.properties()) {
            if (!knownKeys.contains(entry.getKey())) {
                error(
                        parentKey.isEmpty() ? entry.getKey() : parentKey + "." + entry.getKey(),
                        "is no key that is known here",
                        SpellingSuggestions.suggest(entry.getKey(), knownKeys));
                valid = false;
            }
        }
        return valid;
    }

    /** Reports an error at a key. */
    void error(String key, String description, String remedy) {
        problems.add(new ConfigProblem(file, lineIndex.lineOf(key), key, description, remedy, false));
    }
}
