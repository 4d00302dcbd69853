package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import weldhitch.decision.routing.RoutePattern;

/**
 * Reads the pattern of the requests that a route matches. Used by {@link RouteConfigReader} for one file; not
 * thread-safe.
 */
final class RoutePatternReader {
    private static final List<String> MATCH_KEYS = List.of("class", "method", "path", "prefix");
    /** A lookup descends one level of the route table for each segment. */
    private static final int MAX_SEGMENTS = 128;

    private static final List<String> METHODS = List.of("GET", "POST");

    private final TomlValueReader values;

    /** Creates a reader that uses {@code values} to read values and report problems. */
    RoutePatternReader(TomlValueReader values) {
        this.values = values;
    }

    /** Returns the pattern of the route at {@code key}; reports a problem and returns null if it is invalid. */
    RoutePattern readPattern(JsonNode route, String key) {
        String requestClass = values.readText(route, key, "class");
        String method = values.readText(route, key, "method");
        if (method != null && !METHODS.contains(method)) {
            values.error(
                    key + ".method",
                    "\"" + method + "\" is not a method that the node accepts",
                    () -> SpellingSuggestions.suggest(method.toUpperCase(Locale.ROOT), METHODS));
            return null;
        }
        if (route.has("path") && route.has("prefix")) {
            values.error(key + ".prefix", "is set together with path", "set only one of the two");
            return null;
        }
        boolean prefix = !route.has("path");
        String path = values.readText(route, key, prefix ? "prefix" : "path");
        if (path == null) {
            if (MATCH_KEYS.stream().noneMatch(route::has)) {
                values.error(
                        key, "matches every request", "give it a class, method, path or prefix, or use [defaults]");
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
                values.error(
                        pathKey,
                        "no request of class " + requestClass + " matches: a path begins with its class",
                        "start it with /" + requestClass + " or remove class");
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
            values.error(
                    key,
                    "\"" + path + "\" is not a valid path",
                    "start it with / and leave out query, spaces and empty segments");
            return null;
        }
        List<String> segments = new ArrayList<>();
        for (String segment : path.substring(1).split("/")) {
            boolean isVariable = segment.startsWith("{") && segment.endsWith("}") && segment.length() > 2;
            if (!isVariable && (segment.contains("{") || segment.contains("}") || segment.contains("*"))
                    || isVariable && !templateAllowed) {
                values.error(
                        key,
                        "\"" + segment + "\" is not a valid segment of a " + (templateAllowed ? "template" : "prefix"),
                        templateAllowed
                                ? "write {name} in place of an entire segment"
                                : "write out each segment, or use path for a template");
                return null;
            }
            if (!segment.isEmpty()) {
                segments.add(isVariable ? null : segment);
            }
        }
        if (segments.size() > MAX_SEGMENTS) {
            values.error(key, "has " + segments.size() + " segments", "write at most " + MAX_SEGMENTS);
            return null;
        }
        return segments;
    }
}
