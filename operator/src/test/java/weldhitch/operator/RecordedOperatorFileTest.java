package weldhitch.operator;

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
import weldhitch.decision.Balancing.Settings;
import weldhitch.fleet.locality.LocalityRule;
import weldhitch.fleet.locality.LocalityRule.Band;

/**
 * Reads a route configuration with every section and setting, and compares the result with what version
 * 32a2790 made of it for requests of each kind. Neither file is ever recorded anew: the files that operators
 * have written must keep their meaning.
 */
class RecordedOperatorFileTest {
    private static final Path RECORDED = Path.of("operator/src/test/resources/recorded");
    private static final Settings PLATFORM =
            Platforms.usual(Map.of("areas", "kigali,huye,rusizi,musanze", "az", "kigali"));
    private static final List<List<String>> REQUESTS = List.of(
            List.of("read", "GET", "/read/7"),
            List.of("read", "GET", "/read/archive/2024"),
            List.of("read", "POST", "/read/7"),
            List.of("book", "POST", "/book/7/cancel"),
            List.of("book", "POST", "/book/7"),
            List.of("book", "GET", "/book/7"),
            List.of("feed", "GET", "/feed"),
            List.of("whole", "POST", "/whole/1/2?x=1"));

    private static OperatorFile file() {
        return OperatorFile.read(RECORDED.resolve("every-section.toml"), PLATFORM);
    }

    private static String explained(OperatorFile file) {
        StringBuilder text = new StringBuilder();
        for (List<String> request : REQUESTS) {
            var explanation = file.explain(request.get(0), request.get(1), request.get(2));
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
    void everySectionIsReadWithoutAnError() {
        assertEquals(List.of(), file().errors());
    }

    @Test
    void eachRequestGoesByTheSameRules() throws IOException {
        Path expected = RECORDED.resolve("every-section.explained.txt");
        assertEquals(Files.readString(expected), explained(file()));
    }

    @Test
    void captureAndFleetAreAsWritten() {
        CaptureSettings capture = file().capture();
        assertTrue(capture.on());
        assertEquals(Path.of("/var/lib/weldhitch/capture"), capture.directory());
        assertEquals(16L << 20, capture.rules().segmentBytes());
        assertEquals(4096, capture.rules().queue());
        assertEquals("kigali", file().fleet().cluster());
        assertEquals(3, file().fleet().stewards().size());
        assertFalse(file().fleet().fenceBeforeJoin());
        assertTrue(file().fleet().tellVersion());
    }

    @Test
    void localityRulesAreAsWritten() {
        LocalityRule records = file().locality().of("book", "clinic-a", null);
        assertEquals("records", records.name());
        assertFalse(records.panic());
        LocalityRule all = file().locality().of("read", "clinic-b", null);
        assertEquals("all", all.name());
        assertEquals(new Band(0.9, 0.6), all.spill().use());
        assertEquals(2_000_000_000L, all.spill().dwell());
        assertEquals(
                List.of(Set.of("kigali"), Set.of("huye"), Set.of("rusizi"), Set.of("musanze")),
                file().locality().regions().steps(all, "kigali", Set.copyOf(PLATFORM.zones())));
    }
}
