package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Tests that verbs of earlier releases work like their present names, and that the help lists only the latter. */
class FormerVerbsTest {
    @TempDir
    Path directory;

    @Test
    void formerVerbsRunTheSameCommands() {
        CommandLine commandLine = Weldhitch.commandLine();
        assertEquals(
                CoordinatorCommand.class,
                commandLine.getSubcommands().get("coordinator").getCommand().getClass());
        assertEquals(
                CoordinatorCommand.class,
                commandLine.getSubcommands().get("steward").getCommand().getClass());
        assertEquals(
                SimulatorCommands.class,
                commandLine.getSubcommands().get("simulator").getCommand().getClass());
        assertEquals(
                SimulatorCommands.class,
                commandLine.getSubcommands().get("lab").getCommand().getClass());
    }

    @ParameterizedTest
    @CsvSource({"coordinator", "steward"})
    void missingCoordinatorFileHasTheSameExitStatusUnderBothVerbs(String verb) {
        String missing = directory.resolve("missing.toml").toString();
        assertEquals(78, Weldhitch.commandLine().execute(verb, "--config", missing));
    }

    @ParameterizedTest
    @CsvSource({"simulator", "lab"})
    void bothVerbsHaveTheSameSubcommands(String verb) {
        assertEquals(0, Weldhitch.commandLine().execute(verb, "run", "--help"));
        assertEquals(0, Weldhitch.commandLine().execute(verb, "compare", "--help"));
    }

    @Test
    void helpListsOnlyPresentNames() {
        String help = Weldhitch.commandLine().getUsageMessage();
        assertTrue(help.contains("coordinator") && help.contains("simulator"), help);
        assertFalse(help.contains("steward") || help.matches("(?s).*\\blab\\b.*"), help);
    }
}
