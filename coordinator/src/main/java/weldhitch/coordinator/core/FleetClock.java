package weldhitch.coordinator.core;

import weldhitch.fleet.activation.ActivationOutcome;
import weldhitch.fleet.activation.ClockEstimate;

/**
 * The clock by which the leader announces activation times. A new leader continues its predecessor's clock if an
 * activation time was announced by that one, as precisely as it is known from heartbeats; otherwise it starts a
 * clock of its own.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds.
 */
final class FleetClock {
    private final ClockEstimate leaderClock;
    private String id;
    /** The fleet clock reads this process's monotonic clock plus {@code offset}, to within {@code errorBound}. */
    private long offset;

    private long errorBound;

    FleetClock(double maxClockDrift) {
        leaderClock = new ClockEstimate(maxClockDrift);
    }

    /**
     * Records what a heartbeat shows of the leader's clock.
     *
     * @param localTime when this process read its own clock
     * @param reading the leader's clock at that time, to within {@code error}
     */
    void addLeaderReading(String clockId, long localTime, long reading, long error) {
        leaderClock.addReading(clockId, localTime, localTime, reading, error);
    }

    /**
     * Continues the clock of the pending version's activation time if that is known here, otherwise starts a new
     * one.
     *
     * @param newClockId id of the new clock
     */
    void startLeadership(long now, FleetState fleetState, String newClockId) {
        if (fleetState.pendingVersion() != null
                && fleetState.outcome() != null
                && fleetState.outcome().clockId().equals(leaderClock.clockId())) {
            id = leaderClock.clockId();
            offset = leaderClock.remoteTimeAt(now) - now;
            errorBound = leaderClock.errorBound(now);
        } else {
            id = newClockId;
            offset = 0;
            errorBound = 0;
        }
    }

    /** Returns the id of the clock of this leadership; null before the first. */
    String id() {
        return id;
    }

    /** Returns the fleet clock's reading when this process's clock reads {@code now}. */
    long readingAt(long now) {
        return now + offset;
    }

    /** Returns the maximum error of a reading, in nanoseconds. */
    long errorBound() {
        return errorBound;
    }

    /** Whether the activation time of {@code outcome} is a time of this clock. */
    boolean measures(ActivationOutcome outcome) {
        return outcome.clockId().equals(id);
    }
}
