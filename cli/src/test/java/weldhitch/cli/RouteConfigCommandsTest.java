package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@code check} and {@code explain}, with text and JSON output. */
class RouteConfigCommandsTest {
    private static final String PLATFORM = """
        {"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"0f","limits":{"sockets":256},
         "settings":{"classes":[{"name":"read","effect":"read_like","deadlineS":8},
         {"name":"book","effect":"non_idempotent","deadlineS":8}],"limits":{"maxAttempts":3,"secondCopies":true}}}""";

    @TempDir
    Path directory;

    private Path file;
    private Path config;
    private final StringWriter out = new StringWriter();
    private final StringWriter errors = new StringWriter();

    @BeforeEach
    void writePlatformConfig() throws Exception {
        file = directory.resolve("w.toml");
        config = directory.resolve("config.json");
        Files.writeString(config, PLATFORM);
    }

    private int run(String... arguments) {
        out.getBuffer().setLength(0);
        return Weldhitch.commandLine()
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(errors))
                .execute(arguments);
    }

    @Test
    void reportsAValidFile() throws Exception {
        Files.writeString(file, "version = 1\n[class.read]\nattempts = 3\n# end\n");
        assertEquals(0, run("check", file.toString(), "--config", config.toString()));
        assertEquals(file + ": valid, 1 routes\n", out.toString());
        assertEquals(0, run("check", file.toString()));
        assertTrue(out.toString().contains("not checked against a node configuration"), out.toString());
    }

    @Test
    void reportsAllErrorsWithTheirLocations() throws Exception {
        Files.writeString(file, "version = 1\n[class.read]\nattempts = 4\ndeadlin = \"1s\"\n# end\n");
        assertEquals(1, run("check", file.toString(), "--config", config.toString()));
        String output = out.toString();
        assertTrue(
                output.contains(file + ":3: error: class.read.attempts: 4 is more than the platform's limit of 3"),
                output);
        assertTrue(
                output.contains(
                        file + ":4: error: class.read.deadlin: is not a known key; " + "did you mean \"deadline\"?"),
                output);
        assertTrue(output.endsWith(": 2 errors\n"), output);
    }

    @Test
    void writesJsonForScripts() throws Exception {
        Files.writeString(file, "version = 1\n[class.read]\nattempts = 4\n# end\n");
        assertEquals(1, run("check", "--json", file.toString(), "--config", config.toString()));
        JsonNode report = new ObjectMapper().readTree(out.toString());
        assertFalse(report.get("usable").booleanValue());
        JsonNode problem = report.get("problems").get(0);
        assertEquals(3, problem.get("line").intValue());
        assertEquals("class.read.attempts", problem.get("key").textValue());
        assertEquals("error", problem.get("severity").textValue());
    }

    @Test
    void explainNamesTheRouteAndTheSourceOfEachRule() throws Exception {
        Files.writeString(
                file,
                "version = 1\n[defaults]\nattempts = 2\n[[route]]\nname = \"cancel\"\n"
                        + "path = \"/book/{id}/cancel\"\ndeadline = \"1s\"\n# end\n");
        assertEquals(0, run("explain", file.toString(), "--method", "POST", "--path", "/book/7/cancel"));
        String[] lines = out.toString().split("\n");
        assertEquals("route: cancel", lines[0]);
        assertTrue(lines[1].matches(" +deadline +1s +route cancel, line 7"), lines[1]);
        assertTrue(lines[3].matches(" +attempts +2 +defaults, line 3"), lines[3]);
        assertEquals(0, run("explain", file.toString(), "--path", "/read/7", "--class", "read", "--json"));
        JsonNode report = new ObjectMapper().readTree(out.toString());
        assertEquals("defaults", report.get("route").textValue());
        assertEquals(
                "platform", report.get("rules").get("deadline").get("source").textValue());
    }

    @Test
    void rejectsUnusableFiles() throws Exception {
        Files.writeString(file, "version = 2\n# end\n");
        assertEquals(1, run("explain", file.toString(), "--path", "/read"));
        assertEquals(1, run("check", directory.resolve("none.toml").toString()));
        assertEquals(
                2,
                run(
                        "check",
                        file.toString(),
                        "--config",
                        directory.resolve("none.json").toString()));
        assertTrue(errors.toString().contains("--config: GW_CONFIG: cannot read"), errors.toString());
    }
}
