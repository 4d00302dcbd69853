package weldhitch.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Setup;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.RouteStates;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.FlatSettingsParser;
import weldhitch.fleet.activation.ActiveVersions;
import weldhitch.fleet.table.VersionedTables;
import weldhitch.fleet.table.VersionedTables.Table;
import weldhitch.routeconfig.RouteConfig;

/**
 * Measures the time that the balancer takes to handle one successful request, from its arrival to its response,
 * without a route configuration and with configurations of 1 and 1000 routes.
 */
public class RequestPathBenchmark extends AverageTimeBenchmark {
    private static final long STEP_NANOS = 1_000_000L;

    @Param({"none", "1", "1000"})
    private String routes;
    /**
     * Whether the node is in a fleet that coordinates route versions. If so, each request acquires a versioned table
     * of routes on arrival and releases it at the end.
     */
    @Param({"no", "yes"})
    private String fleet;

    private RatioBalancer balancer;
    private VersionedTables<RouteStates> tables;
    private long now = 1_000_000_000_000L;
    private long requestNumber;

    /** Creates the balancer with eight servers and the routes. */
    @Setup
    public void setUpBalancer() {
        BalancerSettings settings = new FlatSettingsParser(Map.of(
                        "classes.count",
                        "1",
                        "classes.0.name",
                        "read",
                        "classes.0.effect",
                        "read_like",
                        "classes.0.aimS",
                        "1",
                        "classes.0.deadlineS",
                        "3",
                        "limits.maxAttempts",
                        "3",
                        "limits.retryAfter",
                        "true",
                        "limits.maxRetryAfterS",
                        "1"))
                .settings();
        balancer = new RatioBalancer(settings, 1);
        List<EndpointEntry> servers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            servers.add(new EndpointEntry("s" + i, "", 0, EndpointState.READY, 1, 0));
        }
        balancer.handle(now, new EndpointsChanged(EndpointUpdateKind.FULL, servers));
        if (!routes.equals("none")) {
            StringBuilder text = new StringBuilder("version = 1\n");
            for (int i = 0; i < Integer.parseInt(routes); i++) {
                text.append("[[route]]\nname = \"r")
                        .append(i)
                        .append("\"\npath = \"/read/clinic")
                        .append(i)
                        .append("/{id}\"\ndeadline = \"2s\"\nattempts = 2\nbudget = { share = 0.1 }\n");
            }
            RouteConfig routeConfig = RouteConfig.parse(
                    "bench.toml", text.append("# end\n").toString().getBytes(StandardCharsets.UTF_8), settings);
            balancer.handle(now, new RoutesChanged(routeConfig.routeTable()));
        }
        tables = fleet.equals("no")
                ? null
                : new VersionedTables<>(
                        new ActiveVersions(1, null, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE),
                        new Table<>(1, balancer.routes()));
    }

    /** Handles the arrival of one request and the end of its attempt. */
    @Benchmark
    public Object request() {
        now += STEP_NANOS;
        String requestId = Long.toString(requestNumber++);
        Table<RouteStates> table = tables == null ? null : tables.acquire(now);
        if (table != null && tables.view().activeVersions().isInDoubtAt(now)) {
            return table;
        }
        List<BalancerAction> actions = balancer.handle(
                now,
                new RequestArrived(
                        requestId, "read", now + 3_000 * STEP_NANOS, null, 0, false, "GET", "/read/clinic0/4711?x=1"));
        String server = null;
        for (BalancerAction action : actions) {
            server = action instanceof SendAttempt send ? send.endpointId() : server;
        }
        now += STEP_NANOS;
        if (table != null) {
            tables.release(table);
        }
        return balancer.handle(now, new AttemptEnded(requestId, 0, server, AttemptOutcome.OK, STEP_NANOS, true, null));
    }
}
