package weldhitch.fleet.turns;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Assigns each node a slot in which to poll a discovery service that all nodes share. As long as slots are free, no two
 * assigned slots are closer than {@link #SLOT_INTERVAL}. So when hundreds of nodes start, or a service returns that all
 * of them wait for, the polls arrive evenly, which random delays would not achieve. Owned by the leading coordinator
 * and kept in memory only: a new leader does not know the slots assigned before, so up to twice as many polls may
 * arrive until those slots have passed. Free of I/O, clocks and threads; times are nanoseconds. Not thread-safe.
 */
public final class PollSlots {
    /** The time between two slots; allows 33 polls a second. */
    public static final long SLOT_INTERVAL = 30_000_000L;
    /**
     * The largest delay of a slot after the time for which it was requested: all nodes must have a list within 10 s
     * of the service's return.
     */
    public static final long MAX_DELAY = 8_000_000_000L;
    /** Time for which a node that requests again gets the same slot, because the response may have been lost. */
    private static final long REASSIGN_WINDOW = 500_000_000L;

    /** The slot of one node, and the time of the request for it. */
    private record SlotAssignment(long at, long requestedAt) {}

    private final Map<String, SlotAssignment> assignments = new HashMap<>();
    /** The assigned slots, numbered from time 0. */
    private final TreeSet<Long> reservedSlots = new TreeSet<>();

    private long overflowCount;

    /**
     * Assigns a slot to a node.
     *
     * @param node name and incarnation
     * @param now the coordinator's time
     * @param notBefore the smallest delay of the slot from now: the node's own remaining delay, 0 or more
     * @return how long from now the node has to wait: from {@code notBefore} to {@link #MAX_DELAY} plus one slot
     */
    public long assign(String node, long now, long notBefore) {
        assignments.values().removeIf(assignment -> assignment.at < now - REASSIGN_WINDOW);
        reservedSlots.headSet(Math.floorDiv(now, SLOT_INTERVAL)).clear();
        SlotAssignment previous = assignments.get(node);
        if (previous != null && now - previous.requestedAt < REASSIGN_WINDOW && previous.at >= now + notBefore) {
            return previous.at - now;
        }
        long firstSlot = Math.floorDiv(now + notBefore + SLOT_INTERVAL - 1, SLOT_INTERVAL);
        long slot = firstSlot;
        for (Long reserved : reservedSlots.tailSet(firstSlot)) {
            if (reserved != slot) {
                break;
            }
            slot++;
        }
        if ((slot - firstSlot) * SLOT_INTERVAL > MAX_DELAY) {
            // There are more nodes than slots: the first excess node gets the middle of the period, the next two a
            // quarter and three quarters, and so on (bit-reversed counting).
            slot = firstSlot
                    + (long) (MAX_DELAY
                            / SLOT_INTERVAL
                            * ((Long.reverse(++overflowCount) >>> 1) / (double) Long.MAX_VALUE));
        } else {
            reservedSlots.add(slot);
        }
        long at = slot * SLOT_INTERVAL;
        assignments.put(node, new SlotAssignment(at, now));
        return at - now;
    }
}
