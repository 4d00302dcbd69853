package weldhitch.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import weldhitch.decision.routing.RouteTable.Route;

/** Tests route lookup against a linear search, the order of precedence, and pattern overlap. */
class RouteTableTest {
    /** Parses a pattern: {@code *} is a wildcard segment; a path that ends in {@code /**} is a prefix. */
    private static RoutePattern pattern(String requestClass, String method, String path) {
        boolean prefix = path.endsWith("/**");
        List<String> segments = new ArrayList<>();
        for (String segment : (prefix ? path.substring(0, path.length() - 3) : path).split("/")) {
            if (!segment.isEmpty()) {
                segments.add(segment.equals("*") ? null : segment);
            }
        }
        return new RoutePattern(requestClass, method, segments, prefix);
    }

    private static Route route(String name, String requestClass, String method, String path) {
        return new Route(name, 2, pattern(requestClass, method, path), RoutePolicy.NONE);
    }

    private static String nameOfMatch(RouteTable routes, String requestClass, String method, String target) {
        Route route = routes.match(requestClass, method, target);
        return route == null ? null : route.name();
    }

    @Test
    void mostSpecificPathWinsSegmentBySegment() {
        RouteTable routes = new RouteTable(List.of(
                route("all", null, null, "/**"),
                route("book", null, null, "/book/**"),
                route("one", null, null, "/book/*"),
                route("cancel", null, null, "/book/*/cancel"),
                route("mine", null, null, "/book/mine/*"),
                route("me", null, null, "/book/mine")));
        assertEquals("all", nameOfMatch(routes, "read", "GET", "/read/x"));
        assertEquals("all", nameOfMatch(routes, "read", "GET", "/"));
        assertEquals("book", nameOfMatch(routes, "book", "GET", "/book"));
        assertEquals("book", nameOfMatch(routes, "book", "GET", "/book/"));
        assertEquals("book", nameOfMatch(routes, "book", "GET", "/book/1/2/3"));
        assertEquals("one", nameOfMatch(routes, "book", "GET", "/book/1"));
        assertEquals("cancel", nameOfMatch(routes, "book", "GET", "/book/1/cancel?why=/x"));
        assertEquals("mine", nameOfMatch(routes, "book", "GET", "/book/mine/cancel"));
        assertEquals("me", nameOfMatch(routes, "book", "GET", "/book/mine?x"));
        assertEquals(
                "book",
                nameOfMatch(routes, "book", "GET", "/book//cancel"),
                "a wildcard does not match an empty segment");
        assertEquals("all", nameOfMatch(routes, "book", "GET", "/bookings"));
    }

    @Test
    void literalPathOfAnotherMethodYieldsToAWildcard() {
        RouteTable routes = new RouteTable(List.of(
                route("post", null, "POST", "/book/mine/x"),
                route("any", null, null, "/book/*/x"),
                route("class", "book", null, "/book/*/x")));
        assertEquals("post", nameOfMatch(routes, "book", "POST", "/book/mine/x"));
        assertEquals("class", nameOfMatch(routes, "book", "GET", "/book/mine/x"));
        assertEquals("any", nameOfMatch(routes, "else", "GET", "/book/mine/x"));
        assertNull(nameOfMatch(routes, "book", "GET", "/book/mine/y"));
    }

    @Test
    void routesPrecedeClassesAndClassesPrecedeDefaults() {
        RoutePattern all = RoutePattern.ALL;
        RouteTable routes = new RouteTable(List.of(
                new Route("defaults", 0, all, RoutePolicy.NONE),
                new Route("class", 1, pattern("read", null, "/**"), RoutePolicy.NONE),
                new Route("route", 2, pattern(null, "POST", "/**"), RoutePolicy.NONE)));
        assertEquals("route", nameOfMatch(routes, "read", "POST", "/read"));
        assertEquals("class", nameOfMatch(routes, "read", "GET", "/read"));
        assertEquals("defaults", nameOfMatch(routes, "book", "GET", "/book"));
    }

    @Test
    void ambiguousRoutesAreRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new RouteTable(List.of(route("a", null, null, "/x/*"), route("b", null, null, "/x/*"))));
    }

    /** Compares the tree with a linear search, over patterns and paths of few segments so that many of them overlap. */
    @Test
    void lookupAgreesWithALinearScan() {
        String[] patternSegments = {"a", "b", "*"};
        String[] pathSegments = {"a", "b", "c"};
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Route> routes = new ArrayList<>();
            List<String> seen = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                String path = randomPath(random, patternSegments) + (random.nextBoolean() ? "/**" : "");
                String method = random.nextInt(3) == 0 ? "POST" : null;
                if (!seen.contains(path + method)) {
                    seen.add(path + method);
                    routes.add(route("r" + i, null, method, path));
                }
            }
            RouteTable table = new RouteTable(routes);
            for (int i = 0; i < 40; i++) {
                String target = randomPath(random, pathSegments);
                String method = random.nextBoolean() ? "GET" : "POST";
                assertEquals(
                        bestByLinearScan(routes, method, target),
                        nameOfMatch(table, "x", method, target.isEmpty() ? "/" : target),
                        seed + ": " + method + " " + target + " with patterns " + seen);
            }
        }
    }

    private static String randomPath(SplittableRandom random, String[] segments) {
        StringBuilder path = new StringBuilder();
        for (int n = random.nextInt(4); n > 0; n--) {
            path.append('/').append(segments[random.nextInt(segments.length)]);
        }
        return path.toString();
    }

    private static String bestByLinearScan(List<Route> routes, String method, String target) {
        List<String> segments = Arrays.stream(target.split("/"))
                .filter(segment -> !segment.isEmpty())
                .toList();
        Route best = null;
        for (Route route : routes) {
            RoutePattern pattern = route.pattern();
            boolean matches = pattern.prefix()
                    ? pattern.segments().size() <= segments.size()
                    : pattern.segments().size() == segments.size();
            for (int i = 0; matches && i < pattern.segments().size(); i++) {
                matches = pattern.segments().get(i) == null
                        || pattern.segments().get(i).equals(segments.get(i));
            }
            matches &= pattern.method() == null || pattern.method().equals(method);
            if (matches && (best == null || specificity(pattern).compareTo(specificity(best.pattern())) > 0)) {
                best = route;
            }
        }
        return best == null ? null : best.name();
    }

    /**
     * Returns a sort key of specificity: for each segment 3 if it is a literal and 2 if it is a wildcard, then 1 for
     * a prefix and 4 for an exact path, then 1 if a method is given.
     */
    private static String specificity(RoutePattern pattern) {
        StringBuilder key = new StringBuilder();
        pattern.segments().forEach(segment -> key.append(segment == null ? 2 : 3));
        return key.append(pattern.prefix() ? 1 : 4)
                .append(pattern.method() == null ? 0 : 1)
                .toString();
    }

    @Test
    void overlapsDetectsPatternsWithACommonRequest() {
        assertTrue(pattern(null, null, "/a/*").overlaps(pattern(null, null, "/*/b")));
        assertFalse(pattern(null, null, "/a/*").overlaps(pattern(null, null, "/a/b/c")));
        assertTrue(pattern(null, null, "/a/**").overlaps(pattern(null, null, "/a/b/c")));
        assertFalse(pattern(null, "GET", "/a").overlaps(pattern(null, "POST", "/a")));
        assertFalse(pattern("x", null, "/**").overlaps(pattern("y", null, "/**")));
    }
}
