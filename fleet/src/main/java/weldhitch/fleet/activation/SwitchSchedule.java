package weldhitch.fleet.activation;

/**
 * When a committed version takes effect by the member's clock, and how precisely that is known. Owned by {@link
 * TargetVersion}; not thread-safe. Times are nanoseconds of the member's clock.
 */
final class SwitchSchedule {
    /**
     * The largest error with which the activation time may be known here. With a larger error a member rejects
     * requests on which the versions differ for as long as the switch may or may not have happened, and takes the
     * new version when it surely has.
     */
    static final long MAX_CLOCK_ERROR = 50_000_000L;

    private long switchAt = Long.MAX_VALUE;
    private long errorBound = Long.MAX_VALUE;

    /**
     * Accepts a more precise estimate of the activation time; ignores a less precise one. Once the activation
     * time has passed it is no longer moved.
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

    /** The estimated activation time; {@link Long#MAX_VALUE} while it is unknown. */
    long switchAt() {
        return switchAt;
    }

    /** By how much {@link #switchAt} may be wrong, in either direction; {@link Long#MAX_VALUE} while unknown. */
    long errorBound() {
        return errorBound;
    }

    /** Whether there is an estimate of the activation time. */
    boolean isKnown() {
        return switchAt != Long.MAX_VALUE;
    }

    /** Whether there is an estimate, and it is not precise enough to switch by. */
    boolean isTooImprecise() {
        return errorBound != Long.MAX_VALUE && errorBound > MAX_CLOCK_ERROR;
    }

    /**
     * When this member switches: at the activation time, or once that has surely passed if it is not known
     * precisely enough.
     */
    long activatesAt() {
        return !isKnown() || errorBound <= MAX_CLOCK_ERROR ? switchAt : switchAt + errorBound;
    }

    /**
     * From when on the activation time may have passed without the member knowing it; {@link Long#MAX_VALUE} if it
     * is known precisely enough.
     *
     * @param undecidedUntil until when no version can have been decided without this member knowing it
     */
    long uncertainFrom(long undecidedUntil) {
        if (!isKnown()) {
            return undecidedUntil;
        }
        return errorBound <= MAX_CLOCK_ERROR ? Long.MAX_VALUE : switchAt - errorBound;
    }
}
