package weldhitch.decision.lifecycle;

/**
 * Plans a graceful shutdown: what a node still accepts after SIGTERM, and when it closes which connections.
 * Used by the node's client server; not thread-safe, without I/O or clock. Times are the caller's, in
 * nanoseconds.
 *
 * <p>Planned restarts of many nodes overlap: the node restarted before may not be back yet, and then the
 * connections that this one closes have nowhere to go. So the node keeps its connections and serves them
 * normally for as long as requests can still be answered within their latency objective before the platform
 * kills the process, which it does no sooner than the longest deadline (3 s at most) plus 0.7 s after SIGTERM.
 * Only then are clients asked to disconnect, a few at a time, so that they do not all reconnect to one other
 * node at the same moment. A deadline after the end of the process is shortened to it; a request that comes
 * too late even for its latency objective is rejected, as it is known not to be executed.
 */
public final class GracefulShutdown {
    private static final long MILLI = 1_000_000L;
    /** The platform waits for the longest deadline, but for no longer than this. */
    private static final long MAX_AWAITED_DEADLINE = 3000 * MILLI;
    /**
     * Upper bound of a latency objective here: one as long as the whole shutdown would reject everything at
     * once.
     */
    private static final long MAX_LATENCY_OBJECTIVE = MAX_AWAITED_DEADLINE / 2;
    /**
     * How long the process surely lives after the longest deadline, less a margin for a late timer and the
     * exit.
     */
    private static final long GRACE_AFTER_DEADLINE = 500 * MILLI;
    /** By how much the timer of an answer at its deadline may be late. */
    private static final long TIMER_SLACK = 50 * MILLI;
    /** New connections keep arriving for this long, as load balancers and clients notice the shutdown late. */
    private static final long MIN_LISTEN_TIME = 500 * MILLI;

    private static final long QUIET_PERIOD = 250 * MILLI;
    private static final long MAX_LISTEN_TIME = 1500 * MILLI;
    /** The period over which clients are asked to disconnect. */
    private static final long CONNECTION_CLOSE_WINDOW = 400 * MILLI;

    private final long maxDeadline;
    private final long maxLatencyObjective;
    private boolean started;
    private long startedAt;

    /**
     * Creates the plan; shutdown has not begun.
     *
     * @param maxDeadline the longest deadline of a request class in nanoseconds
     * @param maxLatencyObjective the longest latency objective of a request class in nanoseconds
     */
    public GracefulShutdown(long maxDeadline, long maxLatencyObjective) {
        this.maxDeadline = Math.min(maxDeadline, MAX_AWAITED_DEADLINE);
        this.maxLatencyObjective = Math.min(maxLatencyObjective, MAX_LATENCY_OBJECTIVE);
    }

    /** Shutdown begins; a second call has no effect. */
    public void start(long now) {
        if (!started) {
            started = true;
            startedAt = now;
        }
    }

    /** Whether shutdown has begun. */
    public boolean started() {
        return started;
    }

    /** The time of the last answer; deadlines of accepted requests are no later. */
    private long lastAnswerAt() {
        return startedAt + maxDeadline + GRACE_AFTER_DEADLINE;
    }

    /**
     * When clients are first asked to disconnect; requests before it can be answered within their objective.
     */
    private long closeWindowStart() {
        return lastAnswerAt() - maxLatencyObjective - CONNECTION_CLOSE_WINDOW;
    }

    /**
     * Returns how long a request that arrives now may take; 0 if it should be rejected, so that another node
     * serves it.
     *
     * @param clientTimeout the time until the request's own deadline
     * @param latencyObjective its latency objective, 0 for none; less time than this until the end leads to rejection
     */
    public long allowedTime(long now, long clientTimeout, long latencyObjective) {
        if (!started) {
            return clientTimeout;
        }
        long remaining = lastAnswerAt() - now;
        long required = latencyObjective > 0
                ? Math.min(Math.min(latencyObjective, maxLatencyObjective), clientTimeout)
                : clientTimeout;
        return remaining < required ? 0 : Math.min(remaining, clientTimeout);
    }

    /**
     * Whether all deadlines have passed; clients that keep connections open after their answers are not
     * awaited.
     */
    public boolean isComplete(long now) {
        return started && now >= lastAnswerAt() + TIMER_SLACK;
    }

    /**
     * Whether new connections are still accepted: while clients have any open and are not yet asked to
     * disconnect, and in any case while load balancers and clients may not have noticed the shutdown.
     *
     * @param lastAcceptedAt when the last connection was accepted
     * @param openConnections number of open connections
     */
    public boolean acceptsConnections(long now, long lastAcceptedAt, int openConnections) {
        long elapsed = now - startedAt;
        return !started
                || elapsed < MIN_LISTEN_TIME
                || openConnections > 0 && now < closeWindowStart()
                || now - lastAcceptedAt < QUIET_PERIOD && elapsed < MAX_LISTEN_TIME;
    }

    /** Whether an answer sent now asks its client to disconnect. */
    public boolean sendsConnectionClose(long now) {
        return started && now >= closeWindowStart();
    }

    /**
     * Returns how many of the idle connections stay open now: all at first, then evenly fewer, none at the end.
     */
    public int idleConnectionsToKeep(long now, int idleAtWindowStart) {
        if (!started || now < closeWindowStart()) {
            return idleAtWindowStart;
        }
        double remainingFraction = 1 - (double) (now - closeWindowStart()) / CONNECTION_CLOSE_WINDOW;
        return remainingFraction <= 0 ? 0 : (int) (idleAtWindowStart * remainingFraction);
    }
}
