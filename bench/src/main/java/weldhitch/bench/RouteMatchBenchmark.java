package weldhitch.bench;

import java.util.ArrayList;
import java.util.List;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Setup;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.routing.RouteTable.Route;

/**
 * Measures the time to find the route of a request in a route table. The paths of half of the routes are templates
 * with a wildcard segment, those of the others are prefixes.
 */
public class RouteMatchBenchmark extends AverageTimeBenchmark {
    @Param({"10", "100", "1000"})
    private int count;

    private RouteTable routeTable;
    private String[] targets;
    private int next;

    /** Builds the routes and 64 request targets that match them. */
    @Setup
    public void buildRoutes() {
        List<Route> routeList = new ArrayList<>();
        targets = new String[64];
        for (int i = 0; i < count; i++) {
            List<String> pathSegments = new ArrayList<>(List.of("book-visit", "clinic" + i));
            if (i % 2 == 0) {
                pathSegments.add(null);
                pathSegments.add("cancel");
            }
            routeList.add(new Route(
                    "r" + i, 2, new RoutePattern("book-visit", null, pathSegments, i % 2 == 1), RoutePolicy.NONE));
        }
        for (int i = 0; i < targets.length; i++) {
            targets[i] = "/book-visit/clinic" + (i * 37 % count) + "/visit-4711/cancel?why=weather";
        }
        routeTable = new RouteTable(routeList);
    }

    /** Finds the route of one request. */
    @Benchmark
    public Route match() {
        return routeTable.match("book-visit", "POST", targets[next++ & 63]);
    }
}
