package weldhitch.decision.routing;

import java.util.List;
import java.util.Objects;

/**
 * Describes the requests that a route matches by request class, method and path, each of them optional. A path is a
 * template, for example {@code /book/{id}/cancel}, where braces stand for any one segment, or a prefix of complete
 * segments. Immutable.
 *
 * @param requestClass the class's name, or null for any
 * @param method the method's name, or null for any
 * @param segments the path's segments, null for a wildcard segment; empty for {@code /}
 * @param prefix whether further segments may follow
 */
public record RoutePattern(String requestClass, String method, List<String> segments, boolean prefix) {
    /** Matches every request. */
    public static final RoutePattern ALL = new RoutePattern(null, null, List.of(), true);

    public RoutePattern {
        segments = java.util.Collections.unmodifiableList(new java.util.ArrayList<>(segments));
    }

    /** Returns whether there is a request that matches both patterns. */
    public boolean overlaps(RoutePattern other) {
        if (!compatible(requestClass, other.requestClass) || !compatible(method, other.method)) {
            return false;
        }
        int common = Math.min(segments.size(), other.segments.size());
        for (int i = 0; i < common; i++) {
            if (!compatible(segments.get(i), other.segments.get(i))) {
                return false;
            }
        }
        return segments.size() == other.segments.size()
                || (segments.size() < other.segments.size() ? prefix : other.prefix);
    }

    /** Returns whether both patterns have the same path, regardless of the names of their wildcard segments. */
    public boolean samePath(RoutePattern other) {
        return prefix == other.prefix && segments.equals(other.segments);
    }

    /** Returns whether this pattern has every constraint on class and method that the other one has. */
    public boolean constrainsAllOf(RoutePattern other) {
        return (other.requestClass == null || Objects.equals(requestClass, other.requestClass))
                && (other.method == null || Objects.equals(method, other.method));
    }

    private static boolean compatible(String one, String other) {
        return one == null || other == null || one.equals(other);
    }
}
