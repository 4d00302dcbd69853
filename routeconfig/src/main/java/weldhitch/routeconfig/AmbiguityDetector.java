package weldhitch.routeconfig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.routing.RoutePattern;

/**
 * Finds routes that match a request equally. Two routes of the same path do if they constrain the same class and
 * method, or if one constrains the class only and the other the method only. Routes are grouped by path, and of equal
 * ones the first stands for all, so that the work grows with the number of routes and not of their pairs. Not
 * thread-safe.
 */
final class AmbiguityDetector {
    /** The path of a pattern. Immutable. */
    private record PathKey(List<String> segments, boolean prefix) {}

    /** The first route of each pattern of one path, by kind. */
    private static final class PathGroup {
        final Map<RoutePattern, RuleSection> routeByPattern = new HashMap<>();
        final Map<RoutePattern, RuleSection> classOnly = new LinkedHashMap<>();
        final Map<RoutePattern, RuleSection> methodOnly = new LinkedHashMap<>();
    }

    private final Map<PathKey, PathGroup> groupByPath = new HashMap<>();

    /** Adds a route and returns the routes added before that match some requests equally. */
    List<RuleSection> add(RuleSection route) {
        RoutePattern pattern = route.pattern();
        PathGroup group =
                groupByPath.computeIfAbsent(new PathKey(pattern.segments(), pattern.prefix()), path -> new PathGroup());
        RuleSection identical = group.routeByPattern.putIfAbsent(pattern, route);
        if (identical != null) {
            return List.of(identical);
        }
        boolean hasClass = pattern.requestClass() != null;
        boolean hasMethod = pattern.method() != null;
        if (hasClass == hasMethod) {
            return List.of();
        }
        (hasClass ? group.classOnly : group.methodOnly).put(pattern, route);
        return new ArrayList<>((hasClass ? group.methodOnly : group.classOnly).values());
    }
}
