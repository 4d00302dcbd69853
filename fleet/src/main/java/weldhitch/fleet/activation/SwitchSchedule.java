package weldhitch.fleet.activation;

/**
 * The activation time of a committed version by the member's clock, and its error. Owned by {@link TargetVersion}; not
 * thread-safe. Times are nanoseconds of the member's clock.
 */
final class SwitchSchedule {
    /**
     * The largest error of the activation time with which a member switches at that time. With a larger error, the
     * member rejects requests that the versions treat differently for as long as it is uncertain whether the
     * activation time has passed, and uses the new version once it has certainly passed.
     */
    static final long MAX_CLOCK_ERROR = 50_000_000L;

    private long switchAt = Long.MAX_VALUE;
    private long errorBound = Long.MAX_VALUE;

    /**
     * Accepts a more precise estimate of the activation time and ignores a less precise one. Once the activation
     * time has passed, it no longer changes.
     *
     * @return whether the estimate was accepted
     */
    boolean refine(long newSwitchAt, long newErrorBound, long now) {
        if (newErrorBound >= errorBound || now >= activatesAt()) {
            return false;
        }
        errorBound = newErrorBound;
        switchAt = newSwitchAt;
        return true;
    }

    /** Returns the estimated activation time; {@link Long#MAX_VALUE} while it is unknown. */
    long switchAt() {
        return switchAt;
    }

    /** Returns the maximum error of {@link #switchAt}, in either direction; {@link Long#MAX_VALUE} while unknown. */
    long errorBound() {
        return errorBound;
    }

    /** Returns whether there is an estimate of the activation time. */
    boolean isKnown() {
        return switchAt != Long.MAX_VALUE;
    }

    /** Returns whether there is an estimate whose error is too large to switch at that time. */
    boolean isTooImprecise() {
        return errorBound != Long.MAX_VALUE && errorBound > MAX_CLOCK_ERROR;
    }

    /**
     * Returns when this member switches: at the activation time, or, if the error of that time is too large, once it
     * has certainly passed.
     */
    long activatesAt() {
        return !isKnown() || errorBound <= MAX_CLOCK_ERROR ? switchAt : switchAt + errorBound;
    }

    /**
     * Returns the time from which the activation time may have passed without the member knowing it; {@link
     * Long#MAX_VALUE} if the activation time is known precisely enough.
     *
     * @param undecidedUntil the time until which no version can have been decided without this member knowing it
     */
    long uncertainFrom(long undecidedUntil) {
        if (!isKnown()) {
            return undecidedUntil;
        }
        return errorBound <= MAX_CLOCK_ERROR ? Long.MAX_VALUE : switchAt - errorBound;
    }
}
