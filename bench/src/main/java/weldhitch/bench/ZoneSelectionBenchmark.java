package weldhitch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Setup;
import weldhitch.fleet.locality.CallResult;
import weldhitch.fleet.locality.LocalityRule;
import weldhitch.fleet.locality.LocalityRule.HysteresisBand;
import weldhitch.fleet.locality.LocalityRule.Match;
import weldhitch.fleet.locality.LocalityRule.SpillPolicy;
import weldhitch.fleet.locality.LocalityRules;
import weldhitch.fleet.locality.Regions;
import weldhitch.fleet.locality.ZoneEndpoint;
import weldhitch.fleet.locality.ZoneSelection;
import weldhitch.fleet.locality.ZoneSelector;

/**
 * Measures the time to select the zone of a request by a locality rule, including the bookkeeping when the attempt of
 * the request is sent and when it ends. A node without locality rules does not have this cost.
 */
public class ZoneSelectionBenchmark extends AverageTimeBenchmark {
    private static final long STEP_NANOS = 1_000_000L;

    @Param({"1", "50"})
    private int rules;

    private ZoneSelector zoneSelector;
    private long now = 1_000_000_000L;
    private int next;
    private final String[] names = new String[60];

    /** Creates 60 servers in three zones, and locality rules of which only the last matches the requests. */
    @Setup
    public void setUpZones() {
        zoneSelector = new ZoneSelector("n", "a", 10, 0.3, 5_000_000_000L, false);
        List<ZoneEndpoint> servers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            names[i] = "s" + i;
            servers.add(new ZoneEndpoint(names[i], String.valueOf((char) ('a' + i % 3)), 1, 0, true, false));
        }
        zoneSelector.updateEndpoints(true, servers, now);
        SpillPolicy spillPolicy = new SpillPolicy(
                new HysteresisBand(0.85, 0.7),
                new HysteresisBand(0.5, 0.8),
                new HysteresisBand(0.3, 0.1),
                5_000_000_000L,
                1,
                0.2,
                0.02);
        List<LocalityRule> localityRules = new ArrayList<>();
        for (int i = 0; i < rules; i++) {
            localityRules.add(new LocalityRule(
                    "r" + i,
                    i == rules - 1 ? Match.ALL : new Match("class" + i, null, null),
                    List.of(LocalityRule.OWN_ZONE, LocalityRule.OWN_REGION, LocalityRule.ANY),
                    Set.of(),
                    spillPolicy,
                    true));
        }
        zoneSelector.updateRules(
                new LocalityRules(new Regions(Map.of("west", Set.of("a", "b"))), 1000, localityRules), now);
    }

    /** Selects the zone of one request and records that its attempt was sent and has ended. */
    @Benchmark
    public Object selectZone() {
        now += STEP_NANOS;
        ZoneSelection selection = zoneSelector.select("read", null, null, 0.5, now);
        String server = names[next];
        next = (next + 3) % 60;
        zoneSelector.onAttemptSent(server, selection, now);
        zoneSelector.onAttemptEnded(server, CallResult.ANSWERED, false, now, now);
        return selection;
    }
}
