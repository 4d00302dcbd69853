package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.decision.event.RequestArrived;

/** Tests {@code replay} on a capture from the simulator, with text and JSON output. */
class ReplayCommandTest {
    @TempDir
    static Path directory;

    private static String capture;
    private final StringWriter out = new StringWriter();
    private final StringWriter errors = new StringWriter();

    @BeforeAll
    static void recordCapture() {
        capture = directory.resolve("capture").toString();
        assertEquals(
                0,
                Weldhitch.commandLine()
                        .setOut(new PrintWriter(new StringWriter()))
                        .execute(
                                "lab",
                                "run",
                                "simulator/scenarios/grey.toml",
                                "--length",
                                "70",
                                "--seed",
                                "3",
                                "--capture",
                                capture));
    }

    private int run(String... arguments) {
        out.getBuffer().setLength(0);
        return Weldhitch.commandLine()
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(errors))
                .execute(arguments);
    }

    private Path routeConfigFile(String text) throws Exception {
        Path file = directory.resolve("w.toml");
        Files.writeString(file, "version = 1\n" + text + "# end\n");
        return file;
    }

    @Test
    void evaluatesAnotherRouteConfigAgainstACapture() throws Exception {
        Path file = routeConfigFile("[class.view-slots]\nattempts = 1\n");
        assertEquals(
                0, run("replay", "--what-if", file.toString(), "--seeds", "3", "--json", capture), errors.toString());
        JsonNode report = new ObjectMapper().readTree(out.toString());
        assertTrue(report.at("/measured/partings").asInt() > 0, out.toString());
        assertEquals(3, report.at("/modelled/seeds").asInt());
        for (JsonNode line : report.at("/modelled/figures")) {
            if (line.path("class").asText().equals("view-slots")
                    && line.path("figure").asText().equals("attempts")) {
                assertEquals(1, line.path("tried").asDouble(), 1e-9);
                assertTrue(
                        line.path("modelled").asDouble() > 1.002
                                && line.path("high").asDouble() < 0,
                        line.toString());
            }
        }
        assertEquals(0, run("replay", "--model", "--seeds", "2", capture));
        assertTrue(out.toString().contains("decisions differ 0 times with this build"), out.toString());
        assertTrue(out.toString().contains("the model's error"), out.toString());
    }

    @Test
    void rejectsInvalidAlternatives() throws Exception {
        assertEquals(
                1,
                run(
                        "replay",
                        "--what-if",
                        routeConfigFile("[class.view-slot]\nattempts = 1\n").toString(),
                        capture));
        assertTrue(errors.toString().contains("w.toml:2: error: class.view-slot"), errors.toString());
        assertEquals(2, run("replay", "--what-if", "w.toml", "--model", capture));
        assertEquals(2, run("replay", "--model", "--seeds", "1", capture));
        assertEquals(2, run("replay", "--from", "0", capture));
        assertEquals(3, run("replay", "--model", directory.resolve("nothing").toString()));
    }

    @Test
    void startsAtASnapshotAndFollowsARequest() throws Exception {
        assertEquals(0, run("replay", "--json", capture));
        JsonNode fullReplay = new ObjectMapper().readTree(out.toString());
        assertEquals(2, fullReplay.path("snapshots").asInt());
        assertEquals(0, run("replay", "--from", "2", "--json", capture));
        JsonNode secondReplay = new ObjectMapper().readTree(out.toString());
        assertTrue(
                secondReplay.path("events").asInt() > 0
                        && secondReplay.path("events").asInt()
                                < fullReplay.path("events").asInt() / 2,
                out.toString());
        assertEquals(0, run("replay", "--request", "9e3779b97f4a7c15", capture));
        assertTrue(out.toString().contains("all decisions are the same as captured"), out.toString());
        assertEquals(0, run("capture", "summary", capture));
        String firstRequestId = firstRequest();
        assertEquals(0, run("replay", "--request", firstRequestId, capture));
        assertTrue(
                out.toString().startsWith("event ")
                        && out.toString().contains("RequestArrived[requestId=" + firstRequestId),
                out.toString());
        assertTrue(out.toString().contains("  here:     the same"), out.toString());
    }

    private String firstRequest() throws Exception {
        StringBuilder requestId = new StringBuilder();
        weldhitch.capture.format.CaptureFiles.read(java.util.List.of(Path.of(capture)), entry -> {
            if (requestId.isEmpty()
                    && entry instanceof weldhitch.capture.format.CaptureEntry.EventRecord record
                    && record.event() instanceof RequestArrived arrived) {
                requestId.append(arrived.requestId());
            }
        });
        return requestId.toString();
    }
}
