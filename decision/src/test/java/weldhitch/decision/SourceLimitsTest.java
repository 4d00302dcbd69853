package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The operators run no decision module of more than 1,200 lines that are not blank. */
class SourceLimitsTest {
    @Test
    void decisionLogicStaysUnderTheLinesAllowed() throws Exception {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("policy")).findFirst().orElseThrow();
        Matcher file = Pattern.compile("\"([^\"]+)\"").matcher(policy);
        long lines = 0;
        while (file.find()) {
            lines += Files.readAllLines(Path.of(file.group(1))).stream().filter(line -> !line.isBlank()).count();
        }
        assertTrue(lines > 100 && lines <= 1200, lines + " lines");
    }
}
