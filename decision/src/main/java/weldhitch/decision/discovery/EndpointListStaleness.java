package weldhitch.decision.discovery;

/**
 * Tracks how stale the endpoint list is and when to warn: first 3 s after discovery last confirmed it, then each time
 * its age has doubled, and later every five minutes. Used by the node's discovery client. Times are nanoseconds of one
 * clock. Not thread-safe.
 */
public final class EndpointListStaleness {
    private static final long SECOND = 1_000_000_000L;
    private static final long FIRST_WARNING_AGE = 3 * SECOND;
    private static final long MAX_WARNING_INTERVAL = 300 * SECOND;

    private long confirmedAt;
    private boolean everConfirmed;
    private long nextWarningAge = FIRST_WARNING_AGE;

    /**
     * Creates a tracker for a list of unknown age.
     *
     * @param startedAt the time at which the node started
     */
    public EndpointListStaleness(long startedAt) {
        confirmedAt = startedAt;
    }

    /** Records that discovery confirmed the current list or sent a newer one. */
    public void confirm(long now) {
        confirmedAt = now;
        everConfirmed = true;
        nextWarningAge = FIRST_WARNING_AGE;
    }

    /**
     * Returns the nanoseconds since discovery last confirmed the list or, if it never did, since the node's
     * start.
     */
    public long age(long now) {
        return Math.max(0, now - confirmedAt);
    }

    /** Returns whether discovery has ever confirmed the list. */
    public boolean everConfirmed() {
        return everConfirmed;
    }

    /** Returns the warning to log now, or null for none. */
    public String warning(long now) {
        long age = age(now);
        if (age < nextWarningAge) {
            return null;
        }
        nextWarningAge = age + Math.min(MAX_WARNING_INTERVAL, age);
        long seconds = age / SECOND;
        return everConfirmed
                ? "serving by a list that discovery last confirmed " + seconds
                        + " s ago; check that discovery is running and reachable"
                : "serving by the list of the configuration, no answer from discovery in the " + seconds
                        + " s since the start; check GW_DISCOVERY and that discovery is running and reachable";
    }
}
