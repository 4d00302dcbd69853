package weldhitch.fleet.turns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that poll slots are spaced, stable and evenly spread. */
class PollSlotsTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    @Test
    void slotsAreConsecutiveAndImmediateWithoutContention() {
        PollSlots slots = new PollSlots();
        assertEquals(0, slots.assign("a", 0, 0));
        assertEquals(PollSlots.SLOT_INTERVAL, slots.assign("b", 0, 0));
        assertEquals(2 * PollSlots.SLOT_INTERVAL - NANOS_PER_MILLI, slots.assign("c", NANOS_PER_MILLI, 0));
        assertEquals(0, slots.assign("d", 900 * NANOS_PER_MILLI, 0));
    }

    /**
     * A node gets the first free slot after its own remaining delay; earlier slots stay free for other nodes.
     */
    @Test
    void slotIsNeverBeforeTheNodesOwnPollTime() {
        PollSlots slots = new PollSlots();
        assertEquals(900 * NANOS_PER_MILLI, slots.assign("a", 0, 890 * NANOS_PER_MILLI));
        assertEquals(930 * NANOS_PER_MILLI, slots.assign("b", 0, 880 * NANOS_PER_MILLI + 5 * NANOS_PER_MILLI));
        assertEquals(0, slots.assign("c", 0, 0));
        assertEquals(870 * NANOS_PER_MILLI, slots.assign("d", 0, 850 * NANOS_PER_MILLI));
    }

    /**
     * A node that repeats its request because the response was lost keeps its slot; a node that requests again after a
     * failed poll gets another slot.
     */
    @Test
    void immediatelyRepeatedRequestKeepsItsSlot() {
        PollSlots slots = new PollSlots();
        slots.assign("a", 0, 0);
        slots.assign("b", 0, 0);
        assertEquals(PollSlots.SLOT_INTERVAL - 10 * NANOS_PER_MILLI, slots.assign("b", 10 * NANOS_PER_MILLI, 0));
        assertEquals(0, slots.assign("b", 600 * NANOS_PER_MILLI, 0));
        assertEquals(PollSlots.SLOT_INTERVAL, slots.assign("c", 600 * NANOS_PER_MILLI, 0));
    }

    /**
     * When 10,000 nodes request a slot within a second, no delay exceeds the maximum, and no tenth of a second has more
     * than 1.5 times its even share of polls.
     */
    @Test
    void moreNodesThanSlotsAreSpreadEvenly() {
        PollSlots slots = new PollSlots();
        List<Long> pollTimes = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            long now = (long) i * 1000 * NANOS_PER_MILLI / 10_000;
            long wait = slots.assign("n" + i, now, 0);
            assertTrue(wait >= 0 && wait <= PollSlots.MAX_DELAY + PollSlots.SLOT_INTERVAL, "" + wait);
            pollTimes.add(now + wait);
        }
        int[] pollsByTenth = new int[93];
        pollTimes.forEach(t -> pollsByTenth[(int) (t / (100 * NANOS_PER_MILLI))]++);
        int maxPollsInATenth = java.util.Arrays.stream(pollsByTenth).max().orElseThrow();
        assertTrue(maxPollsInATenth <= 1.5 * 10_000 / 80, "largest number of polls in 100 ms: " + maxPollsInATenth);
    }

    /** For any number of nodes for which there are enough slots, no tenth of a second has more than four polls. */
    @Test
    void noTenthOfASecondHasMoreThanFourPolls() {
        for (int nodes : new int[] {12, 20, 60, 200, 260}) {
            PollSlots slots = new PollSlots();
            SplittableRandom random = new SplittableRandom(nodes);
            List<Long> pollTimes = new ArrayList<>();
            random.longs(nodes, 0, 1000 * NANOS_PER_MILLI)
                    .sorted()
                    .forEach(now -> pollTimes.add(now + slots.assign("n" + pollTimes.size(), now, 0)));
            pollTimes.sort(null);
            for (int i = 4; i < pollTimes.size(); i++) {
                assertTrue(
                        pollTimes.get(i) - pollTimes.get(i - 4) >= 100 * NANOS_PER_MILLI, nodes + " nodes, poll " + i);
            }
        }
    }
}
