package weldhitch.fleet.member;

import java.util.List;
import java.util.function.Consumer;
import weldhitch.fleet.activation.ActiveVersions;
import weldhitch.fleet.error.FleetError;

/**
 * Decides when a member logs that no coordinator responds as leader, that one does again, and that it rejects requests
 * meanwhile. An ongoing outage is logged again each time its duration has doubled; the start of rejection is logged
 * once. Owned by {@link FleetMember} and used on its thread; not thread-safe. Times are nanoseconds of {@link
 * System#nanoTime}, passed in by the caller.
 */
final class CoordinatorOutageLog {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long INITIAL_DELAY = 3000 * NANOS_PER_MILLI;

    private final String memberName;
    private final Consumer<String> log;
    private long lastLeaderResponseAt;
    private long nextLogDelay = INITIAL_DELAY;
    private boolean rejectionLogged;

    /** Creates the log of a member that starts at time {@code now}. */
    CoordinatorOutageLog(String memberName, Consumer<String> log, long now) {
        this.memberName = memberName;
        this.log = log;
        lastLeaderResponseAt = now;
    }

    /** Records a response of the leading coordinator, which ends an outage. */
    void onLeaderResponse(long now) {
        if (nextLogDelay != INITIAL_DELAY) {
            log.accept("fleet: coordinators reachable again unreachableMillis="
                    + (now - lastLeaderResponseAt) / NANOS_PER_MILLI);
            nextLogDelay = INITIAL_DELAY;
        }
        lastLeaderResponseAt = now;
    }

    /**
     * Records that no response of a leading coordinator was received.
     *
     * @param failure what was received instead, or why nothing was received
     */
    void onNoLeaderResponse(String failure, long now) {
        long silence = now - lastLeaderResponseAt;
        if (silence > nextLogDelay) {
            nextLogDelay = 2 * silence;
            logError(new FleetError.CoordinatorUnreachable(memberName, List.of(failure)));
        }
    }

    /** Logs that the member has begun to reject all requests, or those that the two versions treat differently. */
    void onVersionsWithoutLeader(ActiveVersions activeVersions, long now) {
        boolean fenced = activeVersions.isFencedAt(now);
        boolean rejecting = activeVersions.isInDoubtAt(now) || fenced;
        if (rejecting && !rejectionLogged) {
            logError(
                    fenced
                            ? new FleetError.NotJoined(memberName)
                            : new FleetError.InDoubt(activeVersions.next(), memberName));
        }
        rejectionLogged = rejecting;
    }

    private void logError(FleetError error) {
        log.accept("fleet: " + error.message());
    }
}
