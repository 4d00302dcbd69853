package weldhitch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Setup;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.RouteStates;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.FlatSettingsParser;

/**
 * Measures how long the event loop takes to switch to another route configuration, whose state is either prepared in
 * advance (as another thread would do) or built during the switch.
 */
public class VersionSwitchBenchmark extends AverageTimeBenchmark {
    @Param({"10", "1000"})
    private int routes;

    private RatioBalancer balancer;
    private RouteTable[] versions;
    private int next;
    private RouteStates preparedRoutes;

    /** Creates the balancer and two route configurations that differ in their deadlines. */
    @Setup
    public void setUpBalancer() {
        balancer = new RatioBalancer(
                new FlatSettingsParser(Map.of(
                                "classes.count",
                                "1",
                                "classes.0.name",
                                "read",
                                "classes.0.effect",
                                "read_like",
                                "classes.0.aimS",
                                "1",
                                "classes.0.deadlineS",
                                "3"))
                        .settings(),
                1);
        versions = new RouteTable[] {buildRoutes(1_000_000_000L), buildRoutes(2_000_000_000L)};
    }

    private RouteTable buildRoutes(long deadlineNanos) {
        List<RouteTable.Route> routeList = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            routeList.add(new RouteTable.Route(
                    "r" + i,
                    2,
                    new RoutePattern("read", "GET", List.of("read", "c" + i), false),
                    new RoutePolicy(
                            deadlineNanos,
                            0,
                            0,
                            null,
                            RoutePolicy.RETRYABLE,
                            new RoutePolicy.RetryBudgetSettings(0.1, 1),
                            null,
                            null,
                            Map.of())));
        }
        return new RouteTable(routeList);
    }

    /** Prepares the state of the next route configuration; not part of the measurement. */
    @Setup(Level.Invocation)
    public void prepareNext() {
        next ^= 1;
        preparedRoutes = balancer.routes().prepareNext(versions[next], 1);
    }

    /** Switches to the prepared route configuration. */
    @Benchmark
    public Object switchPrepared() {
        return balancer.handle(0, new RoutesChanged(versions[next], preparedRoutes));
    }

    /** Switches to a route configuration whose state is built during the switch. */
    @Benchmark
    public Object switchUnprepared() {
        return balancer.handle(0, new RoutesChanged(versions[next]));
    }
}
