package weldhitch.coordinator.core;

import weldhitch.fleet.activation.ActivationOutcome;
import weldhitch.fleet.activation.ClockEstimate;

/**
 * The clock to which the leader's activation times refer. If a former leader has announced an activation time, a new
 * leader continues that leader's clock, as precisely as it knows it from heartbeats. Otherwise it starts a new clock.
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
     * Records a reading of the leader's clock that a heartbeat provides.
     *
     * @param localTime time of this process's clock at the reading
     * @param reading the leader's clock at {@code localTime}, to within {@code error}
     */
    void addLeaderReading(String clockId, long localTime, long reading, long error) {
        leaderClock.addReading(clockId, localTime, localTime, reading, error);
    }

    /**
     * Continues the clock of the pending version's activation time if this coordinator has readings of it, otherwise
     * starts a new clock.
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

    /** Returns the id of the clock of this leadership; null before the first leadership. */
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

    /** Returns whether the activation time of {@code outcome} refers to this clock. */
    boolean measures(ActivationOutcome outcome) {
        return outcome.clockId().equals(id);
    }
}
