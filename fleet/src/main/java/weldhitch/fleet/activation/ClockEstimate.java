package weldhitch.fleet.activation;

/**
 * Estimates the offset of a remote clock as an interval, from round trips (Cristian, "Probabilistic clock
 * synchronization", 1989). Clock drift widens the interval as time passes. Each new interval is intersected with the
 * widened old one, so the best round trip counts for as long as it improves the bound. {@link ActivationParticipant}
 * owns one for the fleet clock. Not thread-safe; times are nanoseconds.
 */
public final class ClockEstimate {
    private final double maxDrift;
    private String clockId;
    /** Bounds of the remote time minus the local time, as of {@code updatedAt}: {@code offsetLow} is the lower one. */
    private long offsetLow;

    private long offsetHigh;
    private long updatedAt;

    /**
     * Creates an estimate without any reading.
     *
     * @param maxDrift fraction by which either clock may run fast or slow
     */
    public ClockEstimate(double maxDrift) {
        this.maxDrift = maxDrift;
    }

    /**
     * Adds one reading of the remote clock. A reading of another clock replaces the estimate.
     *
     * @param remoteClockId identifies the remote clock
     * @param sentAt local time before the reading, when the request was sent
     * @param receivedAt local time after the reading, when the response was received
     * @param reading the time that the remote clock showed at some moment between the two
     * @param readingError the maximum error of that reading, in either direction
     */
    public void addReading(String remoteClockId, long sentAt, long receivedAt, long reading, long readingError) {
        long newLow = reading - readingError - receivedAt;
        long newHigh = reading + readingError - sentAt;
        if (!remoteClockId.equals(clockId)) {
            clockId = remoteClockId;
            offsetLow = newLow;
            offsetHigh = newHigh;
            updatedAt = receivedAt;
            return;
        }
        long driftBound = driftSinceUpdate(receivedAt);
        long oldLow = offsetLow - driftBound;
        long oldHigh = offsetHigh + driftBound;
        offsetLow = Math.max(oldLow, newLow);
        offsetHigh = Math.min(oldHigh, newHigh);
        if (offsetLow > offsetHigh) {
            // A clock ran faster than the drift bound allows, so only the latest reading can be used.
            offsetLow = newLow;
            offsetHigh = newHigh;
        }
        updatedAt = Math.max(updatedAt, receivedAt);
    }

    private long driftSinceUpdate(long now) {
        return (long) (2 * maxDrift * Math.max(0, now - updatedAt));
    }

    /** Returns the id of the remote clock, or null before the first reading. */
    public String clockId() {
        return clockId;
    }

    /** Returns the remote clock's time at the local time {@code now}: the middle of the interval. */
    public long remoteTimeAt(long now) {
        return now + offsetLow + (offsetHigh - offsetLow) / 2;
    }

    /** Returns the maximum error of {@link #remoteTimeAt}, in either direction. */
    public long errorBound(long now) {
        return (offsetHigh - offsetLow + 1) / 2 + driftSinceUpdate(now);
    }

    /** Returns the local time at which the remote clock will show {@code remoteTime}. */
    public long toLocalTime(long remoteTime) {
        return remoteTime - offsetLow - (offsetHigh - offsetLow) / 2;
    }
}
