package weldhitch.decision.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import weldhitch.decision.RatioBalancer;
import weldhitch.decision.Workload;

/**
 * Every decision of 1,000 seeded simulations and of 1,000 seeded workloads, held against digests written by an earlier
 * build. What changes no rule changes none of them. A change of a rule writes them anew (the test's name says how), and
 * says so in its commit.
 */
class SameDecisionsTest {
    private static final Path DIGESTS = Path.of("decision/src/test/resources/weldhitch/decision/sim/digests.txt");
    private static final int SEEDS = 1000;

    private static String simulated(long seed) {
        Fleet fleet = seed % 2 == 0 ? RecoveryTest.stall(seed, (int) (seed / 2 % 2)) : RecoveryTest.release(seed);
        fleet.run();
        return Long.toHexString(fleet.nodes.stream().mapToLong(n -> n.digest).reduce(0, (a, b) -> 31 * a + b));
    }

    private static String worked(long seed) {
        Workload workload = new Workload(seed);
        RatioBalancer module = new RatioBalancer(workload.settings, seed);
        long[] digest = {0};
        workload.play(module::handle, 1500, (event, actions) -> digest[0] = Digest.of(digest[0], workload.now(), actions));
        return Long.toHexString(digest[0]);
    }

    private static List<String> all() {
        return LongStream.range(0, SEEDS).parallel()
            .mapToObj(seed -> seed + " " + simulated(seed) + " " + worked(seed)).toList();
    }

    /** {@code -Dweldhitch.digests=write} writes them anew. */
    @Test
    void decisionsAreThoseOfTheBuildThatWroteTheDigests() throws Exception {
        List<String> now = all();
        if ("write".equals(System.getProperty("weldhitch.digests"))) {
            Files.write(DIGESTS, now, StandardCharsets.UTF_8);
        }
        List<String> before = Files.readAllLines(DIGESTS, StandardCharsets.UTF_8);
        assertEquals(SEEDS, before.size());
        for (int i = 0; i < SEEDS; i++) {
            assertEquals(before.get(i), now.get(i), "seed, simulation, workload");
        }
    }
}
