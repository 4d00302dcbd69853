package weldhitch.routeconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.fleet.locality.LocalityRule;
import weldhitch.fleet.locality.LocalityRule.HysteresisBand;

/**
 * Reads a route configuration with every section and setting, and compares the effective rules of requests of each
 * kind with those that version 32a2790 computed. Neither file may be recorded again, because existing files of
 * operators must keep their meaning.
 */
class RecordedRouteConfigTest {
    private static final Path RECORDED = Path.of("routeconfig/src/test/resources/recorded");
    private static final BalancerSettings PLATFORM =
            TestPlatforms.platform(Map.of("areas", "kigali,huye,rusizi,musanze", "az", "kigali"));
    private static final List<List<String>> REQUESTS = List.of(
            List.of("read", "GET", "/read/7"),
            List.of("read", "GET", "/read/archive/2024"),
            List.of("read", "POST", "/read/7"),
            List.of("book", "POST", "/book/7/cancel"),
            List.of("book", "POST", "/book/7"),
            List.of("book", "GET", "/book/7"),
            List.of("feed", "GET", "/feed"),
            List.of("whole", "POST", "/whole/1/2?x=1"));

    private static RouteConfig recordedConfig() {
        return RouteConfig.read(RECORDED.resolve("every-section.toml"), PLATFORM);
    }

    private static String explainAll(RouteConfig config) {
        StringBuilder text = new StringBuilder();
        for (List<String> request : REQUESTS) {
            var explanation = config.explain(request.get(0), request.get(1), request.get(2));
            text.append(String.join(" ", request))
                    .append(" -> ")
                    .append(explanation.route())
                    .append('\n');
            explanation
                    .rules()
                    .forEach(rule -> text.append("  ")
                            .append(rule.key())
                            .append(": ")
                            .append(rule.value())
                            .append(" (")
                            .append(rule.source())
                            .append(")\n"));
        }
        return text.toString();
    }

    @Test
    void everySectionIsReadWithoutErrors() {
        assertEquals(List.of(), recordedConfig().errors());
    }

    @Test
    void eachRequestHasTheRecordedRules() throws IOException {
        Path expected = RECORDED.resolve("every-section.explained.txt");
        assertEquals(Files.readString(expected), explainAll(recordedConfig()));
    }

    @Test
    void captureAndFleetSectionsAreReadAsWritten() {
        CaptureSettings capture = recordedConfig().capture();
        assertTrue(capture.enabled());
        assertEquals(Path.of("/var/lib/weldhitch/capture"), capture.directory());
        assertEquals(16L << 20, capture.rules().maxSegmentBytes());
        assertEquals(4096, capture.rules().queueCapacity());
        assertEquals("kigali", recordedConfig().fleet().cluster());
        assertEquals(3, recordedConfig().fleet().coordinators().size());
        assertFalse(recordedConfig().fleet().fenceBeforeJoin());
        assertTrue(recordedConfig().fleet().exposeVersion());
    }

    @Test
    void localityRulesAreReadAsWritten() {
        LocalityRule bookRule = recordedConfig().locality().ruleFor("book", "clinic-a", null);
        assertEquals("records", bookRule.name());
        assertFalse(bookRule.panic());
        LocalityRule ruleForAll = recordedConfig().locality().ruleFor("read", "clinic-b", null);
        assertEquals("all", ruleForAll.name());
        assertEquals(new HysteresisBand(0.9, 0.6), ruleForAll.spillPolicy().utilization());
        assertEquals(2_000_000_000L, ruleForAll.spillPolicy().dwell());
        assertEquals(
                List.of(Set.of("kigali"), Set.of("huye"), Set.of("rusizi"), Set.of("musanze")),
                recordedConfig()
                        .locality()
                        .regions()
                        .priorityLevels(ruleForAll, "kigali", Set.copyOf(PLATFORM.zones())));
    }
}
