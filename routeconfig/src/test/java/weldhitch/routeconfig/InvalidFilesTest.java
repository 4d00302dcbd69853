package weldhitch.routeconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Tests that invalid files are rejected. Each file lists the problems to be found in it in its first lines, as
 * {@code #! line | key | part of the description}.
 */
class InvalidFilesTest {
    private static final Path DIRECTORY = Path.of("routeconfig/src/test/resources/broken");

    private static List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(DIRECTORY)) {
            return files.sorted().toList();
        }
    }

    @Test
    void atLeastFortyFilesAreTested() throws IOException {
        assertTrue(files().size() >= 40);
    }

    @TestFactory
    Stream<DynamicTest> eachFileIsRejectedWithDescriptionAndLocation() throws IOException {
        return files().stream()
                .map(f -> DynamicTest.dynamicTest(f.getFileName().toString(), () -> assertExpectedProblems(f)));
    }

    private static void assertExpectedProblems(Path file) throws IOException {
        List<String[]> expected = Files.readAllLines(file).stream()
                .filter(l -> l.startsWith("#! "))
                .map(l -> l.substring(3).split(" \\| ", 3))
                .toList();
        RouteConfig config = RouteConfig.read(file, TestPlatforms.platform());
        assertFalse(config.isUsable());
        String allProblems = config.problems().toString();
        assertEquals(expected.size(), config.errors().size(), allProblems);
        for (String[] expectation : expected) {
            ConfigProblem problem = config.errors().stream()
                    .filter(p -> p.key().equals(expectation[1].trim())
                            && p.description().contains(expectation[2]))
                    .findFirst()
                    .orElseThrow(
                            () -> new AssertionError(String.join(" | ", expectation) + " not found in " + allProblems));
            assertEquals(Integer.parseInt(expectation[0]), problem.line(), allProblems);
            assertFalse(problem.remedy().isEmpty());
            assertTrue(problem.toString().startsWith(file + ":" + expectation[0] + ": error: "));
        }
    }
}
