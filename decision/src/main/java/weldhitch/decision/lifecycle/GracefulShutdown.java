package weldhitch.decision.lifecycle;

/**
 * Plans a graceful shutdown: what a node still accepts after SIGTERM, and when it closes which connections. Used by the
 * node's client server. Not thread-safe; performs no I/O and reads no clock: times are passed by the caller, in
 * nanoseconds.
 *
 * <p>Planned restarts of many nodes overlap: the node that was restarted before may not be available again yet, and
 * then the clients whose connections this node closes have no other node to connect to. The node therefore keeps its
 * connections and serves them normally for as long as requests can still be answered within their latency objective
 * before the platform kills the process. The platform does so no sooner than the longest deadline (3 s at most) plus
 * 0.7 s after SIGTERM. Only then are clients asked to disconnect, a few at a time, so that they do not all reconnect to
 * one other node at the same moment. A deadline that is later than the end of the process is shortened to it. A request
 * that arrives too late even for its latency objective is rejected, because it is then known not to have been executed.
 */
public final class GracefulShutdown {
    private static final long MILLI = 1_000_000L;
    /** The platform waits for the longest deadline, but no longer than this. */
    private static final long MAX_AWAITED_DEADLINE = 3000 * MILLI;
    /**
     * Upper bound of the latency objective in this plan. With an objective as long as the shutdown itself, all requests
     * would be rejected at once.
     */
    private static final long MAX_LATENCY_OBJECTIVE = MAX_AWAITED_DEADLINE / 2;
    /**
     * How long the process is certain to run after the longest deadline, less a margin for a late timer and the exit.
     */
    private static final long GRACE_AFTER_DEADLINE = 500 * MILLI;
    /** The maximum lateness of the timer that answers a request at its deadline. */
    private static final long TIMER_SLACK = 50 * MILLI;
    /** New connections are accepted for at least this long: load balancers and clients notice the shutdown late. */
    private static final long MIN_LISTEN_TIME = 500 * MILLI;

    /** Without open connections, the listener closes once no connection was accepted for this long. */
    private static final long QUIET_PERIOD = 250 * MILLI;
    /** Without open connections, the listener closes after this long even if connections were accepted recently. */
    private static final long MAX_LISTEN_TIME = 1500 * MILLI;
    /** The period over which clients are asked to disconnect. */
    private static final long CONNECTION_CLOSE_WINDOW = 400 * MILLI;

    private final long maxDeadline;
    private final long maxLatencyObjective;
    private boolean started;
    private long startedAt;

    /**
     * Creates the plan of a shutdown that has not begun.
     *
     * @param maxDeadline the longest deadline of a request class in nanoseconds
     * @param maxLatencyObjective the longest latency objective of a request class in nanoseconds
     */
    public GracefulShutdown(long maxDeadline, long maxLatencyObjective) {
        this.maxDeadline = Math.min(maxDeadline, MAX_AWAITED_DEADLINE);
        this.maxLatencyObjective = Math.min(maxLatencyObjective, MAX_LATENCY_OBJECTIVE);
    }

    /** Starts the shutdown; a second call has no effect. */
    public void start(long now) {
        if (!started) {
            started = true;
            startedAt = now;
        }
    }

    /** Returns whether the shutdown has begun. */
    public boolean started() {
        return started;
    }

    /** Returns the time of the last answer; deadlines of accepted requests are no later. */
    private long lastAnswerAt() {
        return startedAt + maxDeadline + GRACE_AFTER_DEADLINE;
    }

    /**
     * Returns the time from which clients are asked to disconnect; requests that arrive earlier can be answered
     * within their latency objective.
     */
    private long closeWindowStart() {
        return lastAnswerAt() - maxLatencyObjective - CONNECTION_CLOSE_WINDOW;
    }

    /**
     * Returns how long a request that arrives now may take; 0 if it must be rejected, so that another node serves it.
     *
     * @param clientTimeout the time until the request's own deadline
     * @param latencyObjective the request's latency objective, 0 for none; the request is rejected if less time than
     *     this remains until the end
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
     * Returns whether all deadlines have passed. The shutdown does not wait for clients that keep connections open
     * after their answers.
     */
    public boolean isComplete(long now) {
        return started && now >= lastAnswerAt() + TIMER_SLACK;
    }

    /**
     * Returns whether new connections are still accepted. They are accepted while clients have open connections and are
     * not yet asked to disconnect, and in any case while load balancers and clients may not have noticed the shutdown.
     *
     * @param lastAcceptedAt the time at which the last connection was accepted
     * @param openConnections the number of open connections
     */
    public boolean acceptsConnections(long now, long lastAcceptedAt, int openConnections) {
        long elapsed = now - startedAt;
        return !started
                || elapsed < MIN_LISTEN_TIME
                || openConnections > 0 && now < closeWindowStart()
                || now - lastAcceptedAt < QUIET_PERIOD && elapsed < MAX_LISTEN_TIME;
    }

    /** Returns whether an answer that is sent now asks its client to disconnect. */
    public boolean sendsConnectionClose(long now) {
        return started && now >= closeWindowStart();
    }

    /**
     * Returns how many of the idle connections stay open now: all of them until clients are asked to disconnect, then a
     * number that falls linearly to 0.
     *
     * @param idleAtWindowStart the number of idle connections when clients are first asked to disconnect
     */
    public int idleConnectionsToKeep(long now, int idleAtWindowStart) {
        if (!started || now < closeWindowStart()) {
            return idleAtWindowStart;
        }
        double remainingFraction = 1 - (double) (now - closeWindowStart()) / CONNECTION_CLOSE_WINDOW;
        return remainingFraction <= 0 ? 0 : (int) (idleAtWindowStart * remainingFraction);
    }
}
