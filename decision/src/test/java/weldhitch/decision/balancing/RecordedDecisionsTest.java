package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Compares all decisions of 1,000 seeded workloads with digests recorded by an earlier build. A change must not alter
 * decisions unintentionally. A change that is meant to alter them records the digests again, and its commit message
 * states so.
 */
class RecordedDecisionsTest {
    private static final Path DIGESTS = Path.of("decision/src/test/resources/weldhitch/decision/digests.txt");
    private static final int SEEDS = 1000;

    private static String digestOf(long seed) {
        Workload workload = new Workload(seed);
        RatioBalancer balancer = new RatioBalancer(workload.settings, seed);
        long[] digest = {0};
        workload.play(
                balancer::handle,
                1500,
                (event, actions) -> digest[0] = DecisionDigest.of(digest[0], workload.now(), actions));
        return Long.toHexString(digest[0]);
    }

    /** With {@code -DargLine=-Dweldhitch.digests=write}, records the digests again. */
    @Test
    void decisionsMatchRecordedDigests() throws Exception {
        List<String> actual = LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> seed + " " + digestOf(seed))
                .toList();
        if ("write".equals(System.getProperty("weldhitch.digests"))) {
            Files.write(DIGESTS, actual, StandardCharsets.UTF_8);
        }
        List<String> recorded = Files.readAllLines(DIGESTS, StandardCharsets.UTF_8);
        assertEquals(SEEDS, recorded.size());
        for (int i = 0; i < SEEDS; i++) {
            assertEquals(recorded.get(i), actual.get(i), "seed of the workload and digest of its decisions");
        }
    }
}
