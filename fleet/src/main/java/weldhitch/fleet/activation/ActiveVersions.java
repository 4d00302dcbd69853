package weldhitch.fleet.activation;

/**
 * The versions that a member serves until the next update, created by {@link ActivationParticipant#activeVersions}.
 * Which of them applies to a request depends on the time at which the request arrives. Immutable. Times are
 * nanoseconds of this process's clock.
 */
public final class ActiveVersions {
    private final long current;
    private final Long next;
    private final long switchAt;
    private final long inDoubtFrom;
    private final long fencedFrom;

    /**
     * Creates the state from its parts.
     *
     * @param current the version in use before {@code switchAt}
     * @param next the version in use from {@code switchAt} on, or one that may be committed; null if there is none
     * @param switchAt the activation time by this process's clock; {@link Long#MAX_VALUE} while it is unknown
     * @param inDoubtFrom the time from which the member cannot determine whether {@code next} is active, and rejects
     *     requests that the two versions treat differently; {@link Long#MAX_VALUE} for never
     * @param fencedFrom the time from which the member cannot determine the active version at all, and rejects all
     *     requests
     */
    public ActiveVersions(long current, Long next, long switchAt, long inDoubtFrom, long fencedFrom) {
        this.current = current;
        this.next = next;
        this.switchAt = switchAt;
        this.inDoubtFrom = inDoubtFrom;
        this.fencedFrom = fencedFrom;
    }

    /** Returns the version in use before {@link #switchAt}. */
    public long current() {
        return current;
    }

    /** Returns the version in use from {@link #switchAt} on, or one that may be committed; null if there is none. */
    public Long next() {
        return next;
    }

    /** Returns the activation time by this process's clock; {@link Long#MAX_VALUE} while it is unknown. */
    public long switchAt() {
        return switchAt;
    }

    /** Returns the version in use at {@code now}. */
    public long versionAt(long now) {
        return next != null && now >= switchAt ? next : current;
    }

    /** Returns whether requests that {@code current} and {@code next} treat differently are rejected. */
    public boolean isInDoubtAt(long now) {
        return now >= inDoubtFrom && now < switchAt;
    }

    /** Returns whether all requests are rejected. */
    public boolean isFencedAt(long now) {
        return now >= fencedFrom;
    }
}
