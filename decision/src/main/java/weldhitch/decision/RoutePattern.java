package weldhitch.decision;

import java.util.List;
import java.util.Objects;

/**
 * What a route matches: a class, a method and a path, each or none. A path is a template ({@code /book/{id}/cancel},
 * where a part in braces stands for any one part) or a prefix of whole parts.
 *
 * @param requestClass the class's name, or null for any
 * @param method the method's name, or null for any
 * @param parts the path between its slashes, a part of null standing for any one; empty for {@code /}
 * @param prefix whether more parts may follow
 */
public record RoutePattern(String requestClass, String method, List<String> parts, boolean prefix) {
    /** Matches all. */
    public static final RoutePattern ALL = new RoutePattern(null, null, List.of(), true);

    public RoutePattern {
        parts = java.util.Collections.unmodifiableList(new java.util.ArrayList<>(parts));
    }

    /** Whether some request matches both. */
    public boolean overlaps(RoutePattern other) {
        if (!meet(requestClass, other.requestClass) || !meet(method, other.method)) {
            return false;
        }
        int common = Math.min(parts.size(), other.parts.size());
        for (int i = 0; i < common; i++) {
            if (!meet(parts.get(i), other.parts.get(i))) {
                return false;
            }
        }
        return parts.size() == other.parts.size()
            || (parts.size() < other.parts.size() ? prefix : other.prefix);
    }

    /** Whether both have the same path, whatever its open parts are called. */
    public boolean samePath(RoutePattern other) {
        return prefix == other.prefix && parts.equals(other.parts);
    }

    /** Whether it asks for all that the other asks for of class and method. */
    public boolean asksAllOf(RoutePattern other) {
        return (other.requestClass == null || Objects.equals(requestClass, other.requestClass))
            && (other.method == null || Objects.equals(method, other.method));
    }

    private static boolean meet(String one, String other) {
        return one == null || other == null || one.equals(other);
    }
}
