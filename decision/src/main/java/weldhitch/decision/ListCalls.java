package weldhitch.decision;

/**
 * When a node calls discovery again, how long it waits for an answer, and which call mends a bad one. What one node does
 * here all nodes do: they lose their watches in the same moment, so what follows is spread by chance over as long as
 * there are nodes. Times are nanoseconds. Not thread-safe.
 */
public final class ListCalls {
    /** Why a call brought nothing. */
    public enum Failure {
        /** No answer came in time; the connection is of no further use. */
        SILENT,
        /** The connection never came up, broke, or ended within an answer. */
        BROKEN,
        /** Discovery said that it can't answer now. */
        REFUSED,
        /** What came is no list. */
        UNREADABLE,
        /** What came is older than the list held, or changes to another one. */
        NOT_HELD
    }

    private static final long MILLI = 1_000_000L;
    /** Within a second of a failure the list is asked for again, or drains that are told meanwhile come too late. */
    private static final long LONGEST_WAIT = 1000 * MILLI;
    /** What each node adds to the time over which all of them ask again. */
    private static final long SHARE_OF_ONE = 50 * MILLI;
    private static final long SHORTEST_PATIENCE = 500 * MILLI;
    private static final long LONGEST_PATIENCE = 2500 * MILLI;
    /** Bad answers in a row, from which on the whole list is asked for. */
    private static final int BAD_FOR_WHOLE = 2;

    private final SeededRandom random;
    private final long spread;
    private long patience = SHORTEST_PATIENCE;
    private int failures;
    private int bad;

    /** @param siblings nodes that ask the same discovery, 1 or more */
    public ListCalls(long seed, int siblings) {
        random = new SeededRandom(seed);
        spread = Math.min(LONGEST_WAIT, Math.max(1, siblings) * SHARE_OF_ONE);
    }

    /** How long past the wait that a call asked for its answer may come, before it counts as lost. */
    public long patience() {
        return patience;
    }

    /** Whether only a whole list mends what is held. */
    public boolean wantsWhole() {
        return bad >= BAD_FOR_WHOLE;
    }

    /** Calls in a row that brought nothing. */
    public int failures() {
        return failures;
    }

    /** A call brought nothing. Returns how long to wait before the next: 0 to a second, drawn by chance. */
    public long failed(Failure why) {
        failures++;
        if (why == Failure.UNREADABLE || why == Failure.NOT_HELD) {
            bad++;
        }
        if (why == Failure.SILENT) {
            // Time was lost already; and it may be slow rather than silent, so the next call gets longer.
            patience = Math.min(LONGEST_PATIENCE, 2 * patience);
        }
        int doublings = Math.min(5, failures - 1) + (why == Failure.REFUSED ? 1 : 0);
        return (long) (random.nextDouble() * Math.min(LONGEST_WAIT, spread << doublings));
    }

    /** A list came, so long after the wait that its call asked for was over (below 0: before). */
    public void answered(long late) {
        failures = 0;
        bad = 0;
        patience = Math.min(LONGEST_PATIENCE, Math.max(SHORTEST_PATIENCE, Math.max(2 * late, patience * 3 / 4)));
    }

    /** Another discovery tells the list from here on; nothing is known of it. */
    public void moved() {
        failures = 0;
        bad = BAD_FOR_WHOLE;
        patience = SHORTEST_PATIENCE;
    }
}
