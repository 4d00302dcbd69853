package weldhitch.decision.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Finds the route of a request. Paths are compared segment by segment from the left: a literal segment takes precedence
 * over a wildcard, and a wildcard over a prefix that ends before the segment. Among routes with the same path, the one
 * with the highest precedence wins. If that is equal, a route that specifies method and class wins over one that
 * specifies the method only, and that over one that specifies the class only. The path is compared as it appears in the
 * request line up to its query, without decoding.
 *
 * <p>Immutable and thread-safe. A lookup walks a tree of segments, visits each node at most once and allocates
 * nothing.
 */
public final class RouteTable {
    /**
     * One route.
     *
     * @param name the unique name; the part before {@code @} is the group, whose members share retry budgets, quotas
     *     and latencies where their policies are the same
     * @param precedence decides between routes with the same path: the higher one wins
     */
    public record Route(String name, int precedence, RoutePattern pattern, RoutePolicy policy) {
        /** Returns the part of the name before {@code @}, or the complete name. */
        public String group() {
            int end = name.indexOf('@');
            return end < 0 ? name : name.substring(0, end);
        }
    }

    private final PathNode root = new PathNode("");
    private final List<Route> routes;

    /**
     * Builds the lookup tree.
     *
     * @throws IllegalArgumentException if two routes match the same requests with the same precedence
     */
    public RouteTable(List<Route> routes) {
        this.routes = List.copyOf(routes);
        for (Route route : this.routes) {
            PathNode node = root;
            for (String segment : route.pattern().segments()) {
                node = node.childFor(segment);
            }
            (route.pattern().prefix() ? node.prefixRoutes : node.exactRoutes).add(route);
        }
        root.sort();
    }

    /** Returns all routes in the order in which they were given. */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns the most specific route that matches, or null.
     *
     * @param target the request target; its query is ignored
     */
    public Route match(String requestClass, String method, String target) {
        int end = target.indexOf('?');
        return root.match(
                requestClass, method, target, target.startsWith("/") ? 1 : 0, end < 0 ? target.length() : end);
    }

    /** A node of the tree: one path segment with its child segments and the routes that end there. */
    private static final class PathNode {
        private static final Comparator<Route> BY_SPECIFICITY = Comparator.<Route>comparingInt(Route::precedence)
                .thenComparing(route -> (route.pattern().method() != null ? 2 : 0)
                        + (route.pattern().requestClass() != null ? 1 : 0))
                .reversed();

        final String segment;
        final List<PathNode> literalChildren = new ArrayList<>();
        /** The literal children while the tree is built; null afterwards. */
        private Map<String, PathNode> childBySegment = new TreeMap<>();

        PathNode wildcardChild;
        final List<Route> exactRoutes = new ArrayList<>();
        final List<Route> prefixRoutes = new ArrayList<>();

        PathNode(String segment) {
            this.segment = segment;
        }

        PathNode childFor(String segment) {
            if (segment == null) {
                wildcardChild = wildcardChild == null ? new PathNode("") : wildcardChild;
                return wildcardChild;
            }
            PathNode child = childBySegment.get(segment);
            if (child == null) {
                child = new PathNode(segment);
                childBySegment.put(segment, child);
                literalChildren.add(child);
            }
            return child;
        }

        /** Brings the children and routes of this node and of those below it into the order of lookups. */
        void sort() {
            childBySegment = null;
            literalChildren.sort(Comparator.comparing(node -> node.segment));
            sort(exactRoutes);
            sort(prefixRoutes);
            literalChildren.forEach(PathNode::sort);
            if (wildcardChild != null) {
                wildcardChild.sort();
            }
        }

        private static void sort(List<Route> routes) {
            routes.sort(BY_SPECIFICITY);
            Set<String> seen = new LinkedHashSet<>();
            for (Route route : routes) {
                RoutePattern pattern = route.pattern();
                if (!seen.add(route.precedence() + " " + pattern.method() + " " + pattern.requestClass())) {
                    throw new IllegalArgumentException(
                            "another route matches the same requests with the same precedence: " + route.name());
                }
            }
        }

        /**
         * Returns the best route at or below this node for the path from index {@code start}, which follows a slash.
         */
        Route match(String requestClass, String method, String target, int start, int end) {
            Route match = null;
            if (start < end) {
                int stop = target.indexOf('/', start);
                stop = stop < 0 || stop > end ? end : stop;
                int next = stop < end ? stop + 1 : end;
                PathNode literal = findLiteralChild(target, start, stop);
                match = literal == null ? null : literal.match(requestClass, method, target, next, end);
                if (match == null && wildcardChild != null && stop > start) {
                    match = wildcardChild.match(requestClass, method, target, next, end);
                }
            } else {
                match = firstMatching(exactRoutes, requestClass, method);
            }
            return match != null ? match : firstMatching(prefixRoutes, requestClass, method);
        }

        private PathNode findLiteralChild(String target, int start, int stop) {
            int low = 0;
            int high = literalChildren.size() - 1;
            while (low <= high) {
                int middle = (low + high) >>> 1;
                PathNode node = literalChildren.get(middle);
                int order = compare(node.segment, target, start, stop);
                if (order == 0) {
                    return node;
                }
                if (order < 0) {
                    low = middle + 1;
                } else {
                    high = middle - 1;
                }
            }
            return null;
        }

        private static int compare(String segment, String target, int start, int stop) {
            int common = Math.min(segment.length(), stop - start);
            for (int i = 0; i < common; i++) {
                int order = segment.charAt(i) - target.charAt(start + i);
                if (order != 0) {
                    return order;
                }
            }
            return segment.length() - (stop - start);
        }

        private static Route firstMatching(List<Route> routes, String requestClass, String method) {
            for (int i = 0; i < routes.size(); i++) {
                RoutePattern pattern = routes.get(i).pattern();
                if ((pattern.method() == null || pattern.method().equals(method))
                        && (pattern.requestClass() == null
                                || pattern.requestClass().equals(requestClass))) {
                    return routes.get(i);
                }
            }
            return null;
        }
    }
}
