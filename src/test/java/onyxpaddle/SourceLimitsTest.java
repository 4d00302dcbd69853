package onyxpaddle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class SourceLimitsTest {
    @Test
    void moduleStaysShortEnoughToPrint() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/onyxpaddle/RatioBalancer.java"));
        long full = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(full <= 850, full + " lines");
        for (String line : lines) {
            assertTrue(line.length() <= 110, "too long: " + line);
        }
    }
}
