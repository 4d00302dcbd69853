package weldhitch.decision.sim;

import static weldhitch.decision.sim.Fleet.MS;
import static weldhitch.decision.sim.Fleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import weldhitch.decision.sim.Fleet.Site;
import org.junit.jupiter.api.Test;

/**
 * Sites in simulated time after a trigger: does service come back when the trigger has gone, or do the retries of
 * what was turned away keep the overload alive (Bronson et al., "Metastable Failures in Distributed Systems", 2021)?
 * Each seed plays the same each time, so the verdict is the same too.
 */
class RecoveryTest {
    private static final int LENGTH_S = 24;

    /** Two of four servers take nothing for 4 s, from 6 s to 10 s. */
    static Fleet stall(long seed, int tier) {
        Fleet fleet = new Fleet(seed, new Site(tier, 2, 4, 0.75, 100, LENGTH_S));
        fleet.stall(2, 6 * SECOND, 4 * SECOND);
        return fleet;
    }

    /** Three of four servers replaced with up to two away at once, then a rolling restart of both nodes. */
    static Fleet release(long seed) {
        Fleet fleet = new Fleet(seed, new Site(0, 2, 4, 0.56, 4, LENGTH_S));
        if (seed % 2 == 1) {
            fleet.breakServer(3, SECOND, 7 * SECOND);
        }
        fleet.release(8 * SECOND, 1750 * MS, 2700 * MS, 3);
        fleet.restart(1, 13 * SECOND, 4500 * MS);
        fleet.restart(0, 17600 * MS, 4500 * MS);
        return fleet;
    }

    /** The part of the worth that each second served, by seeds. */
    private static List<double[]> play(int seeds, LongFunction<Fleet> site) {
        return LongStream.range(0, seeds).parallel().mapToObj(seed -> {
            Fleet fleet = site.apply(seed);
            fleet.run();
            return fleet.seconds.stream().limit(LENGTH_S).mapToDouble(Fleet.Second::served).toArray();
        }).toList();
    }

    private static void assertServes(double least, int fromS, List<double[]> plays) {
        for (int seed = 0; seed < plays.size(); seed++) {
            for (int s = fromS; s < LENGTH_S; s++) {
                double served = plays.get(seed)[s];
                assertTrue(served >= least, "seed " + seed + " serves " + served + " of second " + s);
            }
        }
    }

    /** The control: where all is let in, as in a tier that knows no admission, the site stays down by itself. */
    @Test
    void withoutAdmissionRetriesKeepTheOverloadAliveAfterItsTrigger() {
        long down = play(100, seed -> stall(seed, 1)).stream().filter(served -> served[20] < 0.7).count();
        assertTrue(down >= 40, down + " of 100 are still down 10 s after the trigger");
    }

    @Test
    void withAdmissionEverySiteIsBackTwoSecondsAfterTheTrigger() {
        assertServes(0.9, 12, play(2000, seed -> stall(seed, 0)));
    }

    @Test
    void aReleaseAndARollingRestartLeaveNothingBehind() {
        List<double[]> plays = play(2000, RecoveryTest::release);
        assertServes(0.9, 14, plays);
        double worst = plays.stream().mapToDouble(served -> (served[10] + served[11] + served[12]) / 3).average()
            .orElseThrow();
        assertTrue(worst >= 0.88, "while half of the servers are away, on average " + worst);
    }

    @Test
    void aSeedPlaysTheSameEachTime() {
        assertEquals(trace(7), trace(7));
    }

    private static String trace(long seed) {
        Fleet fleet = release(seed);
        fleet.run();
        return fleet.seconds.toString();
    }
}
