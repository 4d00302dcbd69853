package weldhitch.simulator.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Compares two sets of runs over the same seeds, of two builds or two settings. The result is the mean change by
 * seed, with a confidence interval. Stateless.
 */
public final class RunComparison {
    private static final List<String> METRICS =
            List.of("goodput", "inTimeShare", "refused", "failed", "attempts", "p50Ms", "p99Ms");

    /** The change of one metric. */
    public record MetricChange(String metric, PairedDifference.MeanChange change) {}

    private RunComparison() {}

    /**
     * Reads the {@code seed-N.json} files of two directories and compares the seeds that both have.
     *
     * @param confidence level of the intervals, between 0 and 1
     * @throws IOException if a directory cannot be read, or fewer than two seeds are in both
     */
    public static List<MetricChange> compare(Path before, Path after, double confidence) throws IOException {
        Map<Long, JsonNode> runsBefore = readRuns(before);
        Map<Long, JsonNode> runsAfter = readRuns(after);
        runsBefore.keySet().retainAll(runsAfter.keySet());
        runsAfter.keySet().retainAll(runsBefore.keySet());
        if (runsBefore.size() < 2) {
            throw new IOException(
                    before + " and " + after + ": " + runsBefore.size() + " seeds in both, expected two or more");
        }
        List<MetricChange> changes = new ArrayList<>();
        for (String metric : METRICS) {
            changes.add(new MetricChange(
                    metric,
                    PairedDifference.meanChange(
                            metricValues(runsBefore, metric), metricValues(runsAfter, metric), confidence)));
        }
        return changes;
    }

    private static double[] metricValues(Map<Long, JsonNode> runs, String metric) {
        return runs.values().stream()
                .mapToDouble(run -> run.path("all").path(metric).asDouble())
                .toArray();
    }

    private static Map<Long, JsonNode> readRuns(Path directory) throws IOException {
        Map<Long, JsonNode> runs = new TreeMap<>();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.filter(f -> f.getFileName().toString().matches("seed--?\\d+\\.json"))
                    .toList()) {
                JsonNode run = new ObjectMapper().readTree(file.toFile());
                runs.put(run.path("seed").asLong(), run);
            }
        }
        return runs;
    }
}
