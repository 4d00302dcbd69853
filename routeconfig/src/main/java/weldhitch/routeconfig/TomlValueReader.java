package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads single values of a parsed TOML document and reports invalid ones with their line. Shared by the section
 * readers of one file; not thread-safe.
 */
final class TomlValueReader {
    /** The pattern of the names of routes, rules, zones and fleets. */
    static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9_.-]{1,64}");

    private static final long MAX_DURATION_NANOS = 60_000_000_000L;
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,9})?)(us|ms|s|m|h)");
    private static final Map<String, Long> NANOS_PER_UNIT =
            Map.of("us", 1_000L, "ms", 1_000_000L, "s", 1_000_000_000L, "m", 60_000_000_000L, "h", 3_600_000_000_000L);

    private final ProblemCollector problems;

    /** Creates a reader that adds to {@code problems}. */
    TomlValueReader(ProblemCollector problems) {
        this.problems = problems;
    }

    /** Returns the line of a key. */
    int lineOf(String key) {
        return problems.lineOf(key);
    }

    /**
     * Returns the nanoseconds of a duration from {@code min} nanoseconds to one minute; reports a problem and returns
     * null for anything else.
     */
    Long readDuration(JsonNode value, String key, long min) {
        return readDuration(value, key, min, MAX_DURATION_NANOS);
    }

    /**
     * Returns the nanoseconds of a duration such as {@code "250ms"}; reports a problem and returns null if the value is
     * not a duration from {@code min} to {@code max} nanoseconds.
     */
    Long readDuration(JsonNode value, String key, long min, long max) {
        Matcher matcher = value.isTextual() ? DURATION_PATTERN.matcher(value.textValue()) : null;
        if (matcher == null || !matcher.matches()) {
            error(
                    key,
                    value + (value.isNumber() ? " has no unit" : " is not a duration"),
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
                    "write a duration from " + ValueFormat.formatDuration(min) + " to "
                            + ValueFormat.formatDuration(max));
            return null;
        }
        return (long) nanos;
    }

    /** Returns an integer from {@code min} to {@code max}; reports a problem and returns null for anything else. */
    Integer readInteger(JsonNode value, String key, int min, int max) {
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < min || value.intValue() > max) {
            error(
                    key,
                    value + " is not a whole number from " + min + " to " + max,
                    "write such a number without quotes");
            return null;
        }
        return value.intValue();
    }

    /** Returns a number from {@code min} to {@code max}; reports a problem and returns null for anything else. */
    Double readNumber(JsonNode value, String key, double min, double max) {
        if (!value.isNumber() || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
            error(
                    key,
                    value + " is not a number from " + ValueFormat.formatNumber(min) + " to "
                            + ValueFormat.formatNumber(max),
                    "write such a number without quotes");
            return null;
        }
        return value.doubleValue();
    }

    /**
     * Returns a string that is not empty, or null if the key is absent. Reports a problem and returns null for anything
     * else.
     */
    String readText(JsonNode table, String parentKey, String name) {
        JsonNode value = table.get(name);
        if (value == null) {
            return null;
        }
        if (!value.isTextual() || value.textValue().isEmpty()) {
            error(parentKey + "." + name, value + " is not a string or is empty", "write " + name + " = \"...\"");
            return null;
        }
        return value.textValue();
    }

    /** Returns whether the value is a table. Reports any other value as a problem, unless it is absent (null). */
    boolean requireTable(JsonNode value, String key) {
        if (value != null && !value.isObject()) {
            error(key, value + " is not a table", "write [" + key + "] and its settings below it");
        }
        return value != null && value.isObject();
    }

    /** Returns whether the value is a table with all required keys and no unknown ones; reports each violation. */
    boolean requireMembers(
            JsonNode value, String key, List<String> knownKeys, List<String> requiredKeys, String example) {
        if (!value.isObject()) {
            error(key, value + " is not a table", "write " + example);
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

    /** Returns whether a table has no unknown keys; reports each unknown key. */
    boolean requireKnownKeys(JsonNode table, String parentKey, Collection<String> knownKeys) {
        boolean valid = true;
        for (Map.Entry<String, JsonNode> entry : table.properties()) {
            if (!knownKeys.contains(entry.getKey())) {
                error(
                        parentKey.isEmpty() ? entry.getKey() : parentKey + "." + entry.getKey(),
                        "is not a known key",
                        () -> SpellingSuggestions.suggest(entry.getKey(), knownKeys));
                valid = false;
            }
        }
        return valid;
    }

    /** Reports an error at a key. */
    void error(String key, String description, String remedy) {
        problems.error(key, description, remedy);
    }

    /** Reports an error at a key, with a remedy that is computed only if the error is listed. */
    void error(String key, String description, Supplier<String> remedy) {
        problems.error(key, description, remedy);
    }
}
