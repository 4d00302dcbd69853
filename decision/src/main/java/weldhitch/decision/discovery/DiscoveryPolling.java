package weldhitch.decision.discovery;

import weldhitch.decision.random.SeededRandom;

/**
 * Schedules a node's polls of discovery: when to poll, how long a watch (long poll) may wait, how long to wait
 * for an answer, and when to request the full list after invalid answers. All nodes lose their watches, or
 * learn of another discovery service, at the same moment, so the polls that follow are jittered over a time
 * that grows with the number of nodes. An agent on the node's own machine can be polled at any rate; for a
 * service that all nodes share, their total rate is limited. Used by the node's discovery client. Times are
 * nanoseconds. Not thread-safe.
 */
public final class DiscoveryPolling {
    /** Why a poll failed. */
    public enum PollFailure {
        /** No answer arrived in time; the connection is not used again. */
        TIMED_OUT,
        /** The connection was not established, broke, or ended within an answer. */
        CONNECTION_FAILED,
        /** Discovery answered that it cannot serve the poll now. */
        REJECTED,
        /** The answer is not an endpoint list. */
        MALFORMED,
        /** The answer is older than the node's list, or a delta to a different one. */
        STALE
    }

    private static final long MILLI = 1_000_000L;
    /**
     * Polls are repeated within a second of a failure, or the node would learn of draining endpoints too late.
     */
    private static final long MAX_BACKOFF = 1000 * MILLI;
    /** What each node adds to the time over which the nodes' polls are spread. */
    private static final long BACKOFF_PER_NODE = 50 * MILLI;

    private static final long MIN_RESPONSE_TIMEOUT = 500 * MILLI;
    private static final long MAX_RESPONSE_TIMEOUT = 2500 * MILLI;
    /** Invalid answers in a row after which the full list is requested. */
    private static final int INVALID_ANSWERS_BEFORE_FULL_LIST = 2;

    private static final long MIN_WATCH = 2000 * MILLI;

    // Agent mode. A change counts as delivered 6 s after discovery had it and was reachable, whatever failed
    // meanwhile. These values fit a watch that timed out, a hanging connect or a second lost poll, and the
    // backoffs between, into that.
    /**
     * Longest duration of a watch including its response timeout: the longer the timeout, the shorter the
     * requested wait.
     */
    private static final long AGENT_MAX_WATCH_AND_TIMEOUT = 3500 * MILLI;

    private static final long AGENT_MIN_WATCH = 1000 * MILLI;
    /** Response timeout of the poll after a failed watch; that poll itself requests no wait. */
    private static final long AGENT_TIMEOUT_AFTER_FAILED_WATCH = 1500 * MILLI;
    /** Backoff after a timeout: time was lost already, and an agent has only this one client. */
    private static final long AGENT_BACKOFF_AFTER_TIMEOUT = 250 * MILLI;
    /** The agent is on the node's own machine: a connect that takes longer has failed. */
    private static final long AGENT_CONNECT_TIMEOUT = 500 * MILLI;

    private static final long SHARED_CONNECT_TIMEOUT = 1000 * MILLI;

    // Shared-service mode.
    /** One node's slot: all nodes together repeat polls at 40 calls per second. */
    private static final long POLL_SLOT = 25 * MILLI;
    /** Doublings of the slot while the service is unreachable: down to 10 calls per second. */
    private static final int MAX_UNREACHABLE_DOUBLINGS = 2;
    /** Doublings while the service is overloaded: down to 2.5 calls per second. */
    private static final int MAX_OVERLOAD_DOUBLINGS = 4;
    /**
     * What each node adds to the duration of a watch: without updates, all nodes together poll 50 times per
     * second.
     */
    private static final long WATCH_PER_NODE = 20 * MILLI;

    private static final long MAX_WATCH = 10_000 * MILLI;
    /**
     * With a connect it stays below the 10 s within which all nodes must have a list once the service is back.
     */
    private static final long MAX_SPREAD = 5000 * MILLI;

    private static final long MAX_OVERLOAD_SPREAD = 16_000 * MILLI;
    /**
     * Response timeout of a poll that requests no wait. With the backoff after it, a change is received within
     * the six seconds after which it counts as delivered, however the previous poll ended.
     */
    private static final long SHARED_POLL_TIMEOUT = 3500 * MILLI;
    /**
     * Response timeout beyond a watch's wait: what a lost watch misses counts as delivered 2 s after that wait.
     */
    private static final long SHARED_WATCH_TIMEOUT = 1500 * MILLI;
    /** Longest backoff of a node that has a list: with a hanging connect it stays within the six seconds. */
    private static final long MAX_BACKOFF_WITH_LIST = 4000 * MILLI;

    private static final long MAX_BACKOFF_AFTER_TIMEOUT = 2000 * MILLI;
    /**
     * Short, as watches begin at different moments, so that nodes whose watches are lost time out at different
     * ones.
     */
    private static final long BACKOFF_AFTER_WATCH_TIMEOUT = 250 * MILLI;
    /**
     * Response timeout before the first answer. A node without any answer loses nothing by waiting, while an
     * abandoned poll is work that the service does in vain and repeats, which sustains an overload after its
     * cause has ended.
     */
    private static final long SHARED_FIRST_RESPONSE_TIMEOUT = 10_000 * MILLI;
    /** Half of the 200 ms within which the next poll must continue a watch. */
    private static final long MAX_PAUSE = 100 * MILLI;

    private static final long PAUSE_PER_NODE = MILLI;
    /** Successful answers in a row after which the service is assumed to bear twice the load again. */
    private static final int SUCCESSES_TO_HALVE_LOAD = 4;

    private final SeededRandom random;
    private final boolean shared;
    private final int nodeCount;
    private final long backoffBase;
    private final long maxSpread;
    private long responseTimeout = MIN_RESPONSE_TIMEOUT;
    private int consecutiveFailures;
    private int invalidAnswers;
    /** Why the last poll failed; null if it succeeded. */
    private PollFailure lastFailure;
    /**
     * Doublings of all backoffs: one for each sign of an overloaded service, less those that successes took
     * back.
     */
    private int overloadDoublings;

    private int consecutiveSuccesses;
    /** Whether the present discovery service has ever answered. */
    private boolean hasAnswered;

    /**
     * Polls an agent on the node's own machine, which answers at once and at no cost.
     *
     * @param nodeCount number of nodes that poll like this one, 1 or more
     */
    public DiscoveryPolling(long seed, int nodeCount) {
        this(seed, nodeCount, false, 0);
    }

    /**
     * Polls one service that all nodes share.
     *
     * @param nodeCount number of nodes that poll the same service, 1 or more
     * @param maxPollInterval the longest interval between polls before updates count as delivered; 0 if unknown
     */
    public static DiscoveryPolling ofSharedService(long seed, int nodeCount, long maxPollInterval) {
        return new DiscoveryPolling(seed, nodeCount, true, maxPollInterval);
    }

    private DiscoveryPolling(long seed, int nodeCount, boolean shared, long maxPollInterval) {
        random = new SeededRandom(seed);
        this.shared = shared;
        this.nodeCount = Math.max(1, nodeCount);
        backoffBase = Math.min(MAX_BACKOFF, this.nodeCount * BACKOFF_PER_NODE);
        maxSpread = maxPollInterval > 0 ? Math.max(MAX_BACKOFF, Math.min(MAX_SPREAD, maxPollInterval / 2)) : MAX_SPREAD;
    }

    /**
     * Returns how long a watch requests to wait for an update: 2 to 10 s of a shared service, 2 s until it has
     * answered once; 1 to 2 s of an agent.
     */
    public long watchDuration() {
        if (!shared) {
            return Math.min(MIN_WATCH, Math.max(AGENT_MIN_WATCH, AGENT_MAX_WATCH_AND_TIMEOUT - responseTimeout));
        }
        return hasAnswered
                ? Math.max(MIN_WATCH, Math.min(MAX_WATCH, nodeCount * WATCH_PER_NODE << overloadDoublings))
                : MIN_WATCH;
    }

    /**
     * Returns the wait that the next poll requests: that of a watch, but 0 of an agent after a failure and of
     * a shared service after a timeout, so that a missed update arrives at once.
     */
    public long requestedWait() {
        return consecutiveFailures > 0 && (!shared || lastFailure == PollFailure.TIMED_OUT && hasAnswered)
                ? 0
                : watchDuration();
    }

    /** Returns the connect timeout. */
    public long connectTimeout() {
        return shared ? SHARED_CONNECT_TIMEOUT : AGENT_CONNECT_TIMEOUT;
    }

    /**
     * Returns the pause between an answer and the poll that continues the watch: 0 to 100 ms; 0 for an agent.
     */
    public long pauseBetweenPolls() {
        return shared ? (long) (random.nextDouble() * Math.min(MAX_PAUSE, nodeCount * PAUSE_PER_NODE)) : 0;
    }

    /** Returns the response timeout, which runs after the wait that a poll requested. */
    public long responseTimeout() {
        if (!shared) {
            // From the second failure on no watch preceded the poll, so a slow agent gets the full timeout
            // again.
            return consecutiveFailures == 1
                    ? Math.min(responseTimeout, AGENT_TIMEOUT_AFTER_FAILED_WATCH)
                    : responseTimeout;
        }
        // A shared service may be slow for all nodes, and an abandoned poll adds one more: use all the time
        // available.
        return !hasAnswered
                ? SHARED_FIRST_RESPONSE_TIMEOUT
                : requestedWait() > 0 ? SHARED_WATCH_TIMEOUT : SHARED_POLL_TIMEOUT;
    }

    /** Whether the next poll must request the full list. */
    public boolean needsFullList() {
        return invalidAnswers >= INVALID_ANSWERS_BEFORE_FULL_LIST;
    }

    /** Returns the number of failed polls in a row. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Whether the service has recently shown signs of overload. */
    public boolean overloaded() {
        return overloadDoublings > 0;
    }

    /**
     * A poll failed. Returns the random backoff before the next: 0 to 1 s for an agent; for a shared service
     * up to 4 s, or 16 s if the node has no list or the poll was rejected.
     */
    public long recordFailure(PollFailure failure) {
        return recordFailure(failure, 0);
    }

    /**
     * A poll failed.
     *
     * @param retryAfter discovery's Retry-After advice, 0 for none; respected only of a shared service
     * @return the backoff before the next poll
     */
    public long recordFailure(PollFailure failure, long retryAfter) {
        boolean wasWatch = requestedWait() > 0;
        consecutiveFailures++;
        lastFailure = failure;
        consecutiveSuccesses = 0;
        if (failure == PollFailure.MALFORMED || failure == PollFailure.STALE) {
            invalidAnswers++;
        }
        if (failure == PollFailure.TIMED_OUT) {
            // Discovery may be slow rather than unreachable, so the next poll gets a longer timeout.
            responseTimeout = Math.min(MAX_RESPONSE_TIMEOUT, 2 * responseTimeout);
        }
        if (failure == PollFailure.TIMED_OUT || failure == PollFailure.REJECTED) {
            overloadDoublings = Math.min(MAX_OVERLOAD_DOUBLINGS, overloadDoublings + 1);
        }
        int doublings = Math.min(5, consecutiveFailures - 1) + (failure == PollFailure.REJECTED ? 1 : 0);
        long jitterRange = Math.min(MAX_BACKOFF, backoffBase << doublings);
        if (shared) {
            // A few nodes poll at the rate for an agent; many are limited to the total rate that the service
            // bears.
            jitterRange = Math.max(
                    Math.min(MAX_BACKOFF, BACKOFF_PER_NODE << doublings),
                    pollCycle(
                            Math.max(overloadDoublings, Math.min(MAX_UNREACHABLE_DOUBLINGS, consecutiveFailures - 1))));
        }
        if (!shared && failure == PollFailure.TIMED_OUT) {
            jitterRange = Math.min(jitterRange, AGENT_BACKOFF_AFTER_TIMEOUT);
        }
        // An agent serves one node only, so there is no load to reduce, and endpoints may start to drain
        // meanwhile.
        long minBackoff = shared ? Math.min(MAX_OVERLOAD_SPREAD, Math.max(0, retryAfter)) : 0;
        if (shared && hasAnswered && failure != PollFailure.REJECTED) {
            // A node with a list needs updates on draining endpoints in time; only a rejected poll backs off
            // longer.
            jitterRange = Math.min(
                    jitterRange,
                    wasWatch && failure == PollFailure.TIMED_OUT ? BACKOFF_AFTER_WATCH_TIMEOUT : maxBackoff());
        }
        return minBackoff + (long) (random.nextDouble() * jitterRange);
    }

    /** Returns the longest delay of the next poll after a failure, including by discovery's advice. */
    public long maxBackoff() {
        if (!shared || !hasAnswered || lastFailure == PollFailure.REJECTED) {
            return MAX_OVERLOAD_SPREAD;
        }
        return lastFailure == PollFailure.TIMED_OUT ? MAX_BACKOFF_AFTER_TIMEOUT : MAX_BACKOFF_WITH_LIST;
    }

    /** Returns the time in which each node has had one slot. */
    private long pollCycle(int doublings) {
        return Math.min(
                doublings > MAX_UNREACHABLE_DOUBLINGS ? MAX_OVERLOAD_SPREAD : maxSpread,
                nodeCount * POLL_SLOT << doublings);
    }

    /**
     * A poll brought a list.
     *
     * @param lateness how long after the end of the requested wait it arrived; below 0 if before
     */
    public void recordSuccess(long lateness) {
        consecutiveFailures = 0;
        invalidAnswers = 0;
        lastFailure = null;
        hasAnswered = true;
        responseTimeout = Math.min(
                MAX_RESPONSE_TIMEOUT, Math.max(MIN_RESPONSE_TIMEOUT, Math.max(2 * lateness, responseTimeout * 3 / 4)));
        if (++consecutiveSuccesses >= SUCCESSES_TO_HALVE_LOAD) {
            consecutiveSuccesses = 0;
            overloadDoublings = Math.max(0, overloadDoublings - 1);
        }
    }

    /**
     * The node changes to another discovery service, about which nothing is known, and so do all nodes at once.
     *
     * @return the random delay of the first poll: 0 to 2 s; 0 for an agent
     */
    public long onServiceChanged() {
        consecutiveFailures = 0;
        invalidAnswers = INVALID_ANSWERS_BEFORE_FULL_LIST;
        lastFailure = null;
        responseTimeout = MIN_RESPONSE_TIMEOUT;
        overloadDoublings = 0;
        consecutiveSuccesses = 0;
        hasAnswered = false;
        return shared ? (long) (random.nextDouble() * Math.min(2 * MAX_BACKOFF, pollCycle(0))) : 0;
    }
}
