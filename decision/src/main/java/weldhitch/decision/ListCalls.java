package weldhitch.decision;

/**
 * When a node calls discovery, how long it lets a watch wait, how long it waits for an answer, and which call mends a
 * bad one. What one node does here all nodes do: they lose their watches and hear of another discovery in the same
 * moment, so what follows is spread by chance over as long as there are nodes. An agent of the node's own machine bears
 * any pace; a service that all nodes share is paced as a sum. Times are nanoseconds. Not thread-safe.
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
    private static final long SHORTEST_WATCH = 2000 * MILLI;

    // Of an agent. A change counts as told 6 s after discovery had it and could be reached, whatever failed meanwhile; what
    // follows fits a watch that fell silent, a dial that hangs or a second call that is lost, and the waits between into that.
    /** How long a watch lasts at the most, its patience included: the longer the patience, the shorter the wait asked for. */
    private static final long AGENT_WATCH_AND_PATIENCE = 3500 * MILLI;
    private static final long AGENT_SHORTEST_WATCH = 1000 * MILLI;
    /** The patience for the call that follows a watch which brought nothing; the call itself asks for no wait. */
    private static final long AGENT_PATIENCE_AFTER_WATCH = 1500 * MILLI;
    /** Time was lost already, and no crowd asks an agent. */
    private static final long AGENT_WAIT_AFTER_SILENCE = 250 * MILLI;
    /** It is on the node's own machine: a dial that takes longer is lost. */
    private static final long AGENT_DIAL = 500 * MILLI;
    private static final long SHARED_DIAL = 1000 * MILLI;

    // Of a service that all nodes share.
    /** One node's turn: all nodes together ask again at 40 calls a second. */
    private static final long TURN = 25 * MILLI;
    /** Doublings of a turn while the service can't be reached: down to 10 calls a second. */
    private static final int AWAY_TURNS = 2;
    /** Doublings while it has more calls than it bears: down to 2.5 calls a second. */
    private static final int OVERLOAD_TURNS = 4;
    /** What each node adds to the time that a watch waits: in quiet all nodes together call 50 times a second. */
    private static final long WATCH_OF_ONE = 20 * MILLI;
    private static final long LONGEST_WATCH = 10_000 * MILLI;
    /** With a dial it stays under the 10 s in which all nodes hold a list once the service is back. */
    private static final long LONGEST_SPREAD = 5000 * MILLI;
    private static final long LONGEST_OVERLOAD_SPREAD = 16_000 * MILLI;
    /**
     * Of a call that asks for no wait. With the wait behind it a change is heard within the six seconds after which it counts
     * as told, whatever the call before it ended in.
     */
    private static final long SHARED_PATIENCE = 3500 * MILLI;
    /** Past the wait of a watch: what a silent watch misses counts as told two seconds after that wait. */
    private static final long WATCH_PATIENCE = 1500 * MILLI;
    /** The longest wait of a node that holds a list: with a dial that hangs it stays within the six seconds. */
    private static final long LONGEST_WAIT_HOLDING = 4000 * MILLI;
    private static final long LONGEST_WAIT_AFTER_SILENCE = 2000 * MILLI;
    /** Watches began at different moments, so that nodes whose watches fell silent at once ask again at different ones. */
    private static final long WAIT_AFTER_SILENT_WATCH = 250 * MILLI;
    /**
     * A node that has heard nothing yet loses nothing by waiting, while a call given up is work that the service does in
     * vain and does again: what keeps an overload up once its cause has gone.
     */
    private static final long FIRST_SHARED_PATIENCE = 10_000 * MILLI;
    /** Half of the 200 ms in which the next call goes on with a watch. */
    private static final long LONGEST_PAUSE = 100 * MILLI;
    private static final long PAUSE_OF_ONE = MILLI;
    /** Sound answers in a row after which the service is taken to bear twice as much again. */
    private static final int SOUND_FOR_MORE = 4;

    private final SeededRandom random;
    private final boolean shared;
    private final int siblings;
    private final long spread;
    private final long longestSpread;
    private long patience = SHORTEST_PATIENCE;
    private int failures;
    private int bad;
    /** Why the last call brought nothing; null where it brought a list. */
    private Failure last;
    /** Signs of a service that has more calls than it bears, less what sound answers took back; doublings of all waits. */
    private int load;
    private int sound;
    /** Whether the discovery at hand has answered. */
    private boolean heard;

    /**
     * Of an agent on the node's own machine, which answers at once and at no cost.
     *
     * @param siblings nodes that ask alike, 1 or more
     */
    public ListCalls(long seed, int siblings) {
        this(seed, siblings, false, 0);
    }

    /**
     * Of one service that all nodes ask.
     *
     * @param siblings nodes that ask the same discovery, 1 or more
     * @param askEvery how long a node may go without asking before changes count as told; 0 where it is not known
     */
    public static ListCalls ofSharedService(long seed, int siblings, long askEvery) {
        return new ListCalls(seed, siblings, true, askEvery);
    }

    private ListCalls(long seed, int siblings, boolean shared, long askEvery) {
        random = new SeededRandom(seed);
        this.shared = shared;
        this.siblings = Math.max(1, siblings);
        spread = Math.min(LONGEST_WAIT, this.siblings * SHARE_OF_ONE);
        longestSpread = askEvery > 0 ? Math.max(LONGEST_WAIT, Math.min(LONGEST_SPREAD, askEvery / 2)) : LONGEST_SPREAD;
    }

    /** How long a watch asks to wait for news: of a shared service 2 to 10 s, 2 s until it has answered once; of an agent 1 to 2 s. */
    public long watch() {
        if (!shared) {
            return Math.min(SHORTEST_WATCH, Math.max(AGENT_SHORTEST_WATCH, AGENT_WATCH_AND_PATIENCE - patience));
        }
        return heard ? Math.max(SHORTEST_WATCH, Math.min(LONGEST_WATCH, siblings * WATCH_OF_ONE << load)) : SHORTEST_WATCH;
    }

    /**
     * How long the next call asks to wait: as a watch does, but not at all of an agent after a failure and of a shared service
     * after silence, so that what was missed comes at once.
     */
    public long asks() {
        return failures > 0 && (!shared || last == Failure.SILENT && heard) ? 0 : watch();
    }

    /** How long a dial to discovery may take. */
    public long dial() {
        return shared ? SHARED_DIAL : AGENT_DIAL;
    }

    /** How long to wait between an answer and the call that goes on with the watch: 0 to 100 ms; 0 for an agent. */
    public long pause() {
        return shared ? (long) (random.nextDouble() * Math.min(LONGEST_PAUSE, siblings * PAUSE_OF_ONE)) : 0;
    }

    /** How long past the wait that a call asked for its answer may come, before it counts as lost. */
    public long patience() {
        if (!shared) {
            // From the second failure on no wait went before, so that a slow agent gets its time again and is heard in the end.
            return failures == 1 ? Math.min(patience, AGENT_PATIENCE_AFTER_WATCH) : patience;
        }
        // What all nodes ask may be slow for all of them, and a call given up is one more: it gets all that the term leaves.
        return !heard ? FIRST_SHARED_PATIENCE : asks() > 0 ? WATCH_PATIENCE : SHARED_PATIENCE;
    }

    /** Whether only a whole list mends what is held. */
    public boolean wantsWhole() {
        return bad >= BAD_FOR_WHOLE;
    }

    /** Calls in a row that brought nothing. */
    public int failures() {
        return failures;
    }

    /** Whether the service has lately shown that it has more calls than it bears. */
    public boolean overloaded() {
        return load > 0;
    }

    /**
     * A call brought nothing. Returns how long to wait before the next, drawn by chance: 0 to a second for an agent; else to 4 s,
     * or to 16 s where no list is held or the call was refused.
     */
    public long failed(Failure why) {
        return failed(why, 0);
    }

    /**
     * A call brought nothing.
     *
     * @param askedToWait how long discovery asked to stay away, 0 for no word; heeded of a shared service
     * @return how long to wait before the next call
     */
    public long failed(Failure why, long askedToWait) {
        boolean watched = asks() > 0;
        failures++;
        last = why;
        sound = 0;
        if (why == Failure.UNREADABLE || why == Failure.NOT_HELD) {
            bad++;
        }
        if (why == Failure.SILENT) {
            // Time was lost already; and it may be slow rather than silent, so the next call gets longer.
            patience = Math.min(LONGEST_PATIENCE, 2 * patience);
        }
        if (why == Failure.SILENT || why == Failure.REFUSED) {
            load = Math.min(OVERLOAD_TURNS, load + 1);
        }
        int doublings = Math.min(5, failures - 1) + (why == Failure.REFUSED ? 1 : 0);
        long range = Math.min(LONGEST_WAIT, spread << doublings);
        if (shared) {
            // A few nodes ask as of an agent; many no more often together than the service bears.
            range = Math.max(Math.min(LONGEST_WAIT, SHARE_OF_ONE << doublings),
                turns(Math.max(load, Math.min(AWAY_TURNS, failures - 1))));
        }
        if (!shared && why == Failure.SILENT) {
            range = Math.min(range, AGENT_WAIT_AFTER_SILENCE);
        }
        // An agent of one node has no crowd to keep away, and drains may be told meanwhile.
        long away = shared ? Math.min(LONGEST_OVERLOAD_SPREAD, Math.max(0, askedToWait)) : 0;
        if (shared && heard && why != Failure.REFUSED) {
            // A node that holds a list keeps its servers' drains by it; one that is refused for want of room makes room.
            range = Math.min(range, watched && why == Failure.SILENT ? WAIT_AFTER_SILENT_WATCH : longestWait());
        }
        return away + (long) (random.nextDouble() * range);
    }

    /** The longest that the next call may be put off, by whomever, once one has failed. */
    public long longestWait() {
        if (!shared || !heard || last == Failure.REFUSED) {
            return LONGEST_OVERLOAD_SPREAD;
        }
        return last == Failure.SILENT ? LONGEST_WAIT_AFTER_SILENCE : LONGEST_WAIT_HOLDING;
    }

    /** The time in which each node has had a turn. */
    private long turns(int doublings) {
        return Math.min(doublings > AWAY_TURNS ? LONGEST_OVERLOAD_SPREAD : longestSpread, siblings * TURN << doublings);
    }

    /** A list came, so long after the wait that its call asked for was over (below 0: before). */
    public void answered(long late) {
        failures = 0;
        bad = 0;
        last = null;
        heard = true;
        patience = Math.min(LONGEST_PATIENCE, Math.max(SHORTEST_PATIENCE, Math.max(2 * late, patience * 3 / 4)));
        if (++sound >= SOUND_FOR_MORE) {
            sound = 0;
            load = Math.max(0, load - 1);
        }
    }

    /**
     * Another discovery tells the list from here on; nothing is known of it, and all nodes are told of it at once.
     *
     * @return how long to wait before the first call to it: 0 to 2 s, drawn by chance; 0 for an agent
     */
    public long moved() {
        failures = 0;
        bad = BAD_FOR_WHOLE;
        last = null;
        patience = SHORTEST_PATIENCE;
        load = 0;
        sound = 0;
        heard = false;
        return shared ? (long) (random.nextDouble() * Math.min(2 * LONGEST_WAIT, turns(0))) : 0;
    }
}
