package weldhitch.decision.connection;

/**
 * Determines the earliest time at which input that an event loop reads now can have arrived. The loop may read late
 * because it was suspended, was not scheduled on a processor, or was busy with other connections. The time before the
 * read counts against a request nevertheless, because its client has been waiting. The operating system does not report
 * when bytes arrived, but each poll reports everything that has arrived by then: input that a poll reports for the
 * first time arrived after the previous poll.
 *
 * <p>A node polls at least every {@link #MAX_POLL_INTERVAL}, so a longer time since the previous poll means that its
 * event loop was delayed. Not thread-safe; performs no I/O and reads no clock: times are nanoseconds of the caller's
 * clock.
 */
public final class PollHistory {
    private static final long MILLI = 1_000_000L;
    /** The longest interval between two polls of an event loop that is not delayed. */
    public static final long MAX_POLL_INTERVAL = 30 * MILLI;
    /**
     * Ages of input up to this are treated as 0: two poll intervals and the handling between them. The remaining time
     * that is sent to an endpoint may exceed the client's by 150 ms; the rest of the 150 ms is left for the way to the
     * endpoint.
     */
    static final long IGNORED_AGE = 2 * MAX_POLL_INTERVAL + 15 * MILLI;
    /** Intervals between polls that are longer than this are stalls, which are logged. */
    static final long STALL = MAX_POLL_INTERVAL + 100 * MILLI;

    /** The maximum time by which a signal may be handled later than input that arrived before it. */
    static final long SIGNAL_DELAY = 100 * MILLI;

    private long previousPollAt;
    private long lastPollAt;
    /** The start of the last stall. */
    private long stalledFrom;

    private long stalledUntil;
    private long pollCount;

    /** Creates a history in which no poll was made before {@code now}. */
    public PollHistory(long now) {
        previousPollAt = now;
        lastPollAt = now;
        stalledUntil = now - SIGNAL_DELAY;
    }

    /**
     * Records that a poll of all sockets begins.
     *
     * @return the time since the previous poll if that is a stall; otherwise 0
     */
    public long pollStarted(long now) {
        pollCount++;
        long interval = now - lastPollAt;
        previousPollAt = lastPollAt;
        lastPollAt = now;
        if (interval <= STALL) {
            return 0;
        }
        stalledFrom = previousPollAt;
        stalledUntil = now;
        return interval;
    }

    /** Returns the number of polls so far. */
    public long pollCount() {
        return pollCount;
    }

    /** Returns the earliest time at which input that the last poll reported for the first time can have arrived. */
    public long arrivedNotBefore() {
        return previousPollAt;
    }

    /**
     * Returns the earliest time at which a signal that is handled now can have been sent. A signal is handled on a
     * separate thread and may reach the event loop some polls after the stall in which it was sent.
     */
    public long signalledNotBefore(long now) {
        return now - stalledUntil < SIGNAL_DELAY ? stalledFrom : previousPollAt;
    }

    /**
     * Returns the earliest time at which input that is read now on an accepted connection can have arrived. The first
     * poll of such a connection may report input that arrived before the connection was accepted.
     *
     * @param acceptedAt the time at which the connection was accepted
     * @param connectedNotBefore the value of {@link #arrivedNotBefore()} at that time
     */
    public long arrivedNotBefore(long acceptedAt, long connectedNotBefore) {
        return acceptedAt > previousPollAt ? connectedNotBefore : previousPollAt;
    }

    /**
     * Returns the assumed arrival time of a request that is read now: the earliest time at which it can have arrived
     * plus {@link #IGNORED_AGE}, but no later than now. If the result is too early, the request gets less time than its
     * client still waits; if it is too late, it gets more.
     */
    public static long assumedArrival(long now, long notBefore) {
        return Math.min(now, notBefore + IGNORED_AGE);
    }
}
