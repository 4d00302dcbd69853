package weldhitch.decision.discovery;

import weldhitch.decision.random.SeededRandom;

/**
 * Schedules a node's polls of the discovery service: when to poll, how long a watch (long poll) may wait, how long to
 * wait for an answer, and when to request the full list after invalid answers. All nodes may lose their watches, or
 * switch to another discovery service, at the same moment, so the polls that follow are jittered over a time that grows
 * with the number of nodes. An agent on the node's own machine can be polled at any rate; for a service that all nodes
 * share, the total rate is limited. Used by the node's discovery client. Times are in nanoseconds. Not thread-safe.
 */
public final class DiscoveryPolling {
    /** The reason why a poll failed. */
    public enum PollFailure {
        /** No answer arrived in time; the connection is not used again. */
        TIMED_OUT,
        /** The connection was not established, broke, or ended within an answer. */
        CONNECTION_FAILED,
        /** Discovery answered that it cannot serve the poll now. */
        REJECTED,
        /** The answer is not an endpoint list. */
        MALFORMED,
        /** The answer is older than the node's list, or a delta to a different list. */
        STALE
    }

    private static final long MILLI = 1_000_000L;
    /**
     * Longest backoff when polling an agent: polls are repeated within a second of a failure, because the node would
     * otherwise learn of draining endpoints too late.
     */
    private static final long MAX_BACKOFF = 1000 * MILLI;
    /** The time that each node adds to the time over which the nodes' polls are spread. */
    private static final long BACKOFF_PER_NODE = 50 * MILLI;

    private static final long MIN_RESPONSE_TIMEOUT = 500 * MILLI;
    private static final long MAX_RESPONSE_TIMEOUT = 2500 * MILLI;
    /** Number of consecutive invalid answers after which the full list is requested. */
    private static final int INVALID_ANSWERS_BEFORE_FULL_LIST = 2;

    private static final long MIN_WATCH = 2000 * MILLI;

    // Agent mode. An update counts as delivered 6 s after discovery had it and was reachable, whatever failed in the
    // meantime. With these values a watch that timed out, a hanging connect or a second lost poll, and the backoffs
    // between them, fit into that time.
    /**
     * Longest duration of a watch including its response timeout: the longer the timeout, the shorter the
     * requested wait.
     */
    private static final long AGENT_MAX_WATCH_AND_TIMEOUT = 3500 * MILLI;

    private static final long AGENT_MIN_WATCH = 1000 * MILLI;
    /** Response timeout of the poll after a failed watch; that poll itself requests no wait. */
    private static final long AGENT_TIMEOUT_AFTER_FAILED_WATCH = 1500 * MILLI;
    /** Backoff after a timeout. It is short because time was already lost and an agent has only this one client. */
    private static final long AGENT_BACKOFF_AFTER_TIMEOUT = 250 * MILLI;
    /** Connect timeout. The agent is on the node's own machine, so a connect that takes longer has failed. */
    private static final long AGENT_CONNECT_TIMEOUT = 500 * MILLI;

    private static final long SHARED_CONNECT_TIMEOUT = 1000 * MILLI;

    // Shared-service mode.
    /** The poll slot of one node: all nodes together repeat polls at 40 calls per second. */
    private static final long POLL_SLOT = 25 * MILLI;
    /** Maximum doublings of the poll slot while the service is unreachable: down to 10 calls per second. */
    private static final int MAX_UNREACHABLE_DOUBLINGS = 2;
    /** Maximum doublings of the poll slot while the service is overloaded: down to 2.5 calls per second. */
    private static final int MAX_OVERLOAD_DOUBLINGS = 4;
    /**
     * The time that each node adds to the duration of a watch: without updates, all nodes together poll 50 times per
     * second.
     */
    private static final long WATCH_PER_NODE = 20 * MILLI;

    private static final long MAX_WATCH = 10_000 * MILLI;
    /**
     * The longest time over which the nodes' polls of an unreachable service are spread. Together with a connect, it is
     * below the 10 s within which all nodes must have a list once the service is reachable again.
     */
    private static final long MAX_SPREAD = 5000 * MILLI;

    private static final long MAX_OVERLOAD_SPREAD = 16_000 * MILLI;
    /**
     * Response timeout of a poll that requests no wait. With the backoff after it, an update is received within the 6 s
     * after which it counts as delivered, however the previous poll ended.
     */
    private static final long SHARED_POLL_TIMEOUT = 3500 * MILLI;
    /**
     * Response timeout after a watch's wait. An update that a lost watch misses counts as delivered 2 s after that
     * wait.
     */
    private static final long SHARED_WATCH_TIMEOUT = 1500 * MILLI;
    /**
     * Longest backoff of a node that has a list. Together with a hanging connect, it is below the 6 s after which an
     * update counts as delivered.
     */
    private static final long MAX_BACKOFF_WITH_LIST = 4000 * MILLI;

    private static final long MAX_BACKOFF_AFTER_TIMEOUT = 2000 * MILLI;
    /**
     * Longest backoff after a watch that timed out. It is short because watches begin at different moments, so nodes
     * whose watches are lost time out at different moments too.
     */
    private static final long BACKOFF_AFTER_WATCH_TIMEOUT = 250 * MILLI;
    /**
     * Response timeout before the first answer. A node without any answer loses nothing by waiting, whereas the service
     * does the work of an abandoned poll in vain and has to repeat it, which sustains an overload after its cause has
     * ended.
     */
    private static final long SHARED_FIRST_RESPONSE_TIMEOUT = 10_000 * MILLI;
    /** Longest pause between polls: half of the 200 ms within which the next poll must continue a watch. */
    private static final long MAX_PAUSE = 100 * MILLI;

    private static final long PAUSE_PER_NODE = MILLI;
    /** Number of consecutive successful answers after which the service is assumed to sustain twice the load again. */
    private static final int SUCCESSES_TO_HALVE_LOAD = 4;

    private final SeededRandom random;
    private final boolean shared;
    private final int nodeCount;
    private final long backoffBase;
    private final long maxSpread;
    private long responseTimeout = MIN_RESPONSE_TIMEOUT;
    private int consecutiveFailures;
    private int invalidAnswers;
    /** The reason why the last poll failed; null if it succeeded. */
    private PollFailure lastFailure;
    /**
     * Number of doublings of all backoffs: each sign of an overloaded service adds one, and successes remove them
     * again.
     */
    private int overloadDoublings;

    private int consecutiveSuccesses;
    /** Whether the present discovery service has ever answered. */
    private boolean hasAnswered;

    /**
     * Creates the schedule for an agent on the node's own machine, which answers at once and at no cost.
     *
     * @param nodeCount the number of nodes that poll in the same way, 1 or more
     */
    public DiscoveryPolling(long seed, int nodeCount) {
        this(seed, nodeCount, false, 0);
    }

    /**
     * Creates the schedule for one service that all nodes share.
     *
     * @param nodeCount the number of nodes that poll the service, 1 or more
     * @param maxPollInterval the longest interval between two polls before updates count as delivered; 0 if unknown
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
     * Returns how long a watch requests to wait for an update. For a shared service that is 2 to 10 s, but 2 s until it
     * has answered once; for an agent it is 1 to 2 s.
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
     * Returns the wait that the next poll requests. It is that of a watch, but 0 for an agent after a failure and for a
     * shared service after a timeout, so that a missed update arrives at once.
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
     * Returns the pause between an answer and the poll that continues the watch: 0 to 100 ms for a shared service, 0
     * for an agent.
     */
    public long pauseBetweenPolls() {
        return shared ? (long) (random.nextDouble() * Math.min(MAX_PAUSE, nodeCount * PAUSE_PER_NODE)) : 0;
    }

    /** Returns the response timeout, which starts after the wait that a poll requested. */
    public long responseTimeout() {
        if (!shared) {
            // From the second consecutive failure on, the failed poll was not a watch, so a slow agent gets the full
            // timeout again.
            return consecutiveFailures == 1
                    ? Math.min(responseTimeout, AGENT_TIMEOUT_AFTER_FAILED_WATCH)
                    : responseTimeout;
        }
        // A shared service may be slow for all nodes, and an abandoned poll adds to its load, so all of the available
        // time is used.
        return !hasAnswered
                ? SHARED_FIRST_RESPONSE_TIMEOUT
                : requestedWait() > 0 ? SHARED_WATCH_TIMEOUT : SHARED_POLL_TIMEOUT;
    }

    /** Returns whether the next poll must request the full list. */
    public boolean needsFullList() {
        return invalidAnswers >= INVALID_ANSWERS_BEFORE_FULL_LIST;
    }

    /** Returns the number of consecutive failed polls. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns whether the service has recently shown signs of overload. */
    public boolean overloaded() {
        return overloadDoublings > 0;
    }

    /**
     * Records a failed poll. Returns the random backoff before the next poll: 0 to 1 s for an agent; up to 4 s for a
     * shared service, or up to 16 s if the node has no list or the poll was rejected.
     */
    public long recordFailure(PollFailure failure) {
        return recordFailure(failure, 0);
    }

    /**
     * Records a failed poll.
     *
     * @param retryAfter the Retry-After advice of discovery, 0 for none; an agent's advice is ignored
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
            // A small number of nodes polls at the rate for an agent; a large number is limited to the total rate that
            // the service sustains.
            jitterRange = Math.max(
                    Math.min(MAX_BACKOFF, BACKOFF_PER_NODE << doublings),
                    pollCycle(
                            Math.max(overloadDoublings, Math.min(MAX_UNREACHABLE_DOUBLINGS, consecutiveFailures - 1))));
        }
        if (!shared && failure == PollFailure.TIMED_OUT) {
            jitterRange = Math.min(jitterRange, AGENT_BACKOFF_AFTER_TIMEOUT);
        }
        // An agent serves one node only, so there is no load to reduce, and endpoints may start to drain in the
        // meantime.
        long minBackoff = shared ? Math.min(MAX_OVERLOAD_SPREAD, Math.max(0, retryAfter)) : 0;
        if (shared && hasAnswered && failure != PollFailure.REJECTED) {
            // A node with a list must learn of draining endpoints in time, so it backs off for longer only after a
            // rejected poll.
            jitterRange = Math.min(
                    jitterRange,
                    wasWatch && failure == PollFailure.TIMED_OUT ? BACKOFF_AFTER_WATCH_TIMEOUT : maxBackoff());
        }
        return minBackoff + (long) (random.nextDouble() * jitterRange);
    }

    /** Returns the longest possible delay of the next poll after a failure, Retry-After advice included. */
    public long maxBackoff() {
        if (!shared || !hasAnswered || lastFailure == PollFailure.REJECTED) {
            return MAX_OVERLOAD_SPREAD;
        }
        return lastFailure == PollFailure.TIMED_OUT ? MAX_BACKOFF_AFTER_TIMEOUT : MAX_BACKOFF_WITH_LIST;
    }

    /** Returns the time in which each node has one poll slot. */
    private long pollCycle(int doublings) {
        return Math.min(
                doublings > MAX_UNREACHABLE_DOUBLINGS ? MAX_OVERLOAD_SPREAD : maxSpread,
                nodeCount * POLL_SLOT << doublings);
    }

    /**
     * Records that a poll returned a list.
     *
     * @param lateness how long after the end of the requested wait the answer arrived; negative if before the end
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
     * Resets the schedule because the node changes to another discovery service, of which nothing is known. All nodes
     * change at the same time.
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
