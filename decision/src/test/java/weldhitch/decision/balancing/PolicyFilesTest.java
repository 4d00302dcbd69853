package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the list {@code policy} of the deploy file, which names the files that contain the balancer's decisions. */
class PolicyFilesTest {
    private static final Path PACKAGE = Path.of("decision/src/main/java/weldhitch/decision/balancing");
    /** Files of the package that make no decisions: those that trace decisions or take snapshots. */
    private static final Set<String> NOT_DECIDING = Set.of(
            "package-info.java",
            "DecisionListener.java",
            "PickTraceBuilder.java",
            "SnapshotBuilder.java",
            "IncrementalSnapshot.java");

    private static List<Path> policyFiles() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy"))
                .findFirst()
                .orElseThrow();
        Matcher file = Pattern.compile("\"([^\"]+)\"").matcher(policy);
        List<Path> files = new ArrayList<>();
        while (file.find()) {
            files.add(Path.of(file.group(1)));
        }
        return files;
    }

    @Test
    void eachFileExistsAndIsListedOnce() throws IOException {
        List<Path> files = policyFiles();
        assertEquals(files.size(), new HashSet<>(files).size(), files.toString());
        for (Path file : files) {
            assertTrue(Files.size(file) > 0, file.toString());
        }
    }

    @Test
    void everyFileThatDecidesIsListed() throws IOException {
        Set<String> names = policyFiles().stream()
                .map(file -> file.getFileName().toString())
                .collect(Collectors.toSet());
        try (Stream<Path> files = Files.list(PACKAGE)) {
            Set<String> deciding = files.map(file -> file.getFileName().toString())
                    .filter(name -> !NOT_DECIDING.contains(name))
                    .collect(Collectors.toSet());
            assertEquals(deciding, names);
        }
    }
}
