package weldhitch.decision.connection;

/**
 * Bounds when input arrived that an event loop reads now. The loop may read late: it was suspended, starved of the
 * processor, or busy with other connections. Time that passed before the read counts against a request all the
 * same, as its client has been waiting. The system does not tell when bytes arrived, but each poll reports all
 * that had arrived by then: what a poll reports for the first time has arrived after the poll before it.
 *
 * <p>A node polls at least every {@link #MAX_POLL_INTERVAL}, so a longer age means that it was held up. Not
 * thread-safe, without I/O or clock; times are nanoseconds of the caller's clock.
 */
public final class PollHistory {
    private static final long MILLI = 1_000_000L;
    /** The longest interval between two polls of a loop that runs. */
    public static final long MAX_POLL_INTERVAL = 30 * MILLI;
    /**
     * Ages up to this are taken for none: two poll intervals and the handling between them. The remaining time that
     * a server is told may exceed the client's by 150 ms; the rest of that is left for the way to the server.
     */
    static final long IGNORED_AGE = 2 * MAX_POLL_INTERVAL + 15 * MILLI;
    /** Polls that are further apart than this are worth a log line. */
    static final long STALL = MAX_POLL_INTERVAL + 100 * MILLI;

    /** A signal may be handled this much later than the input that came before it. */
    static final long SIGNAL_DELAY = 100 * MILLI;

    private long previousPollAt;
    private long lastPollAt;
    /** The last stall. */
    private long stalledFrom;

    private long stalledUntil;

    /** No poll has been made before {@code now}. */
    public PollHistory(long now) {
        previousPollAt = now;
        lastPollAt = now;
        stalledUntil = now - SIGNAL_DELAY;
    }

    /**
     * A poll of all sockets begins.
     *
     * @return for how long the loop had not polled, if that is a stall; otherwise 0
     */
    public long pollStarted(long now) {
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

    /** The time before which nothing arrived that the last poll reported for the first time. */
    public long arrivedNotBefore() {
        return previousPollAt;
    }

    /**
     * The time before which a signal was not sent that is handled now. It is handled on a thread of its own and may
     * reach the loop some polls after a stall in which it was sent.
     */
    public long signalledNotBefore(long now) {
        return now - stalledUntil < SIGNAL_DELAY ? stalledFrom : previousPollAt;
    }

    /**
     * The time before which nothing arrived that is read now on an accepted connection. The first poll of such a
     * connection may report what had arrived before the connection was accepted.
     *
     * @param acceptedAt when the connection was accepted
     * @param connectedNotBefore {@link #arrivedNotBefore()} at that time
     */
    public long arrivedNotBefore(long acceptedAt, long connectedNotBefore) {
        return acceptedAt > previousPollAt ? connectedNotBefore : previousPollAt;
    }

    /**
     * The time from which a request that is read now counts: the earliest at which it can have arrived, give or
     * take {@link #IGNORED_AGE}. Too early costs a request time that its client may still have; too late promises
     * time that it has not.
     */
    public static long assumedArrival(long now, long notBefore) {
        return Math.min(now, notBefore + IGNORED_AGE);
    }
}
