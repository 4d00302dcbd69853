package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads single values of a parsed TOML document and reports those that are invalid, with their line. Shared by the
 * section readers of one file; not thread-safe.
 */
final class TomlValueReader {
    /** What the names of routes, rules, zones and fleets consist of. */
    static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9_.-]{1,64}");

    private static final long MAX_DURATION = 60_000_000_000L;
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,9})?)(us|ms|s|m|h)");
    private static final Map<String, Long> NANOS_PER_UNIT =
            Map.of("us", 1_000L, "ms", 1_000_000L, "s", 1_000_000_000L, "m", 60_000_000_000L, "h", 3_600_000_000_000L);

    private final String file;
    private final TomlLineIndex lineIndex;
    private final List<ConfigProblem> problems;

    /** Creates a reader that adds to {@code problems}. */
    TomlValueReader(String file, TomlLineIndex lineIndex, List<ConfigProblem> problems) {
        this.file = file;
        this.lineIndex = lineIndex;
        this.problems = problems;
    }

    /** The line of a key. */
    int lineOf(String key) {
        return lineIndex.lineOf(key);
    }

    /** Nanoseconds from {@code min} to a minute; null, with a problem, for anything else. */
    Long readDuration(JsonNode value, String key, long min) {
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
