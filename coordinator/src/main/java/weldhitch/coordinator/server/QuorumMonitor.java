package weldhitch.coordinator.server;

/**
 * Detects that no leader has been known for several leader leases, which means that there is probably no quorum.
 *
 * <p>Not thread-safe; used on the decision thread of {@link CoordinatorLoop}. Times are nanoseconds of the monotonic
 * clock.
 */
final class QuorumMonitor {
    private static final int REPORT_AFTER_LEASES = 3;
    /** Value of {@link #noLeaderSince} before the first check. */
    private static final long NEVER_CHECKED = 0;

    private final long reportInterval;
    private long noLeaderSince = NEVER_CHECKED;

    QuorumMonitor(long leaderLease) {
        reportInterval = REPORT_AFTER_LEASES * leaderLease;
    }

    /**
     * Returns whether the loss of the quorum must be reported now; while the loss lasts, it is reported at regular
     * intervals.
     */
    boolean isLossReportDue(boolean leaderKnown, long now) {
        if (leaderKnown || noLeaderSince == NEVER_CHECKED) {
            noLeaderSince = now;
            return false;
        }
        if (now - noLeaderSince > reportInterval) {
            noLeaderSince = now;
            return true;
        }
        return false;
    }
}
