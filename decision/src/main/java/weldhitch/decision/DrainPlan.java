package weldhitch.decision;

/**
 * What a node that is told to end still takes, and what it closes when: free of I/O, clock and threads; times are the
 * caller's, in nanoseconds.
 *
 * <p>A planned restart of many nodes overlaps: the one told before may not be back yet when this one is told, and
 * then the connections that this one closes have nowhere to go. So it keeps them, and serves on them as ever, for as
 * long as what callers ask for can still be answered within its aim before the platform kills the process, which it
 * does no sooner than the longest deadline (3 s at most) and 0.7 s after SIGTERM. Only then are callers told to go, a
 * few at a time, so that their new connections do not fall on one other node in the same moment. A deadline past the
 * end is cut to it; what comes too late even for its aim is refused, as it is known not to have run.
 */
public final class DrainPlan {
    private static final long MILLI = 1_000_000L;
    /** The platform waits for the longest deadline, but for no longer one than this. */
    private static final long MOST_WAITED_FOR = 3000 * MILLI;
    /** An aim counts for no more than this here: one as long as the end is away would have all refused at once. */
    private static final long MOST_WANTED = MOST_WAITED_FOR / 2;
    /** How long after the longest deadline the process is sure to live, less room for a late timer and the exit. */
    private static final long AFTER_LONGEST = 500 * MILLI;
    /** By how much an answer that is given at its deadline may be late. */
    private static final long LATE_TIMERS = 50 * MILLI;
    /** New connections go on coming for so long, as those who deal them out hear of the end late. */
    private static final long LISTEN_ON = 500 * MILLI;
    private static final long QUIET = 250 * MILLI;
    private static final long LISTEN_AT_MOST = 1500 * MILLI;
    /** The time over which callers are told to go. */
    private static final long FAREWELL = 400 * MILLI;

    private final long longestDeadline;
    private final long longestAim;
    private boolean begun;
    private long since;

    /**
     * {@code longestDeadline}: the longest that a class of requests is waited for; {@code longestAim}: the longest
     * time within which one wants its answer. Both in nanoseconds.
     */
    public DrainPlan(long longestDeadline, long longestAim) {
        this.longestDeadline = Math.min(longestDeadline, MOST_WAITED_FOR);
        this.longestAim = Math.min(longestAim, MOST_WANTED);
    }

    /** The node is told to end; a second call changes nothing. */
    public void begin(long now) {
        if (!begun) {
            begun = true;
            since = now;
        }
    }

    /** Whether the node is told to end. */
    public boolean begun() {
        return begun;
    }

    /** The last moment at which an answer is given; what is taken has its deadline no later. */
    private long end() {
        return since + longestDeadline + AFTER_LONGEST;
    }

    /** From here on callers are told to go: any request that comes sooner can be answered within its aim. */
    private long farewell() {
        return end() - longestAim - FAREWELL;
    }

    /**
     * How long a request that comes now may take, of the {@code patience} its caller has: less where the node ends
     * before, and 0 where what is left is not even the time it is wanted within ({@code aim}; 0 for none stated), so
     * that another node had better have it.
     */
    public long timeFor(long now, long patience, long aim) {
        if (!begun) {
            return patience;
        }
        long left = end() - now;
        long wanted = aim > 0 ? Math.min(Math.min(aim, longestAim), patience) : patience;
        return left < wanted ? 0 : Math.min(left, patience);
    }

    /** Whether every deadline has passed: clients that have their answer and don't close are waited for no longer. */
    public boolean over(long now) {
        return begun && now >= end() + LATE_TIMERS;
    }

    /**
     * Whether new connections are still accepted: as long as callers keep any open and are not told to go, and in any
     * case while those who deal them out may not have heard. {@code acceptedAt} is when the last one came.
     */
    public boolean listens(long now, long acceptedAt, int open) {
        long passed = now - since;
        return !begun || passed < LISTEN_ON || open > 0 && now < farewell()
            || now - acceptedAt < QUIET && passed < LISTEN_AT_MOST;
    }

    /** Whether an answer given now tells its caller to go. */
    public boolean saysClose(long now) {
        return begun && now >= farewell();
    }

    /** How many of so many idle connections stay open now: all at first, then evenly fewer, none at the end. */
    public int keepsIdle(long now, int idleAtFarewell) {
        if (!begun || now < farewell()) {
            return idleAtFarewell;
        }
        double left = 1 - (double) (now - farewell()) / FAREWELL;
        return left <= 0 ? 0 : (int) (idleAtFarewell * left);
    }
}
