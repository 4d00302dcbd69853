package weldhitch.fleet.activation;

/**
 * The versions that a member serves by until the next update, made by {@link
 * ActivationParticipant#activeVersions}. Immutable; which of them applies to a request depends on the time at
 * which it arrives.
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
     * @param next the version from {@code switchAt} on, or one that may be committed; null if there is none
     * @param switchAt the activation time by this process's clock; {@link Long#MAX_VALUE} while it is unknown
     * @param inDoubtFrom from when on the member cannot tell whether {@code next} is active, and rejects
     *     requests on which the two differ; {@link Long#MAX_VALUE} for never
     * @param fencedFrom from when on the member cannot tell what is active at all, and rejects all requests
     */
    public ActiveVersions(long current, Long next, long switchAt, long inDoubtFrom, long fencedFrom) {
        this.current = current;
        this.next = next;
        this.switchAt = switchAt;
        this.inDoubtFrom = inDoubtFrom;
        this.fencedFrom = fencedFrom;
    }

    /** The version in use before {@link #switchAt}. */
    public long current() {
        return current;
    }

    /** The version from {@link #switchAt} on, or one that may be committed; null if there is none. */
    public Long next() {
        return next;
    }

    /** The activation time by this process's clock; {@link Long#MAX_VALUE} while it is unknown. */
    public long switchAt() {
        return switchAt;
    }

    /** The version in use at {@code now}. */
    public long versionAt(long now) {
        return next != null && now >= switchAt ? next : current;
    }

    /** Whether requests on which {@code current} and {@code next} differ are rejected. */
    public boolean isInDoubtAt(long now) {
        return now >= inDoubtFrom && now < switchAt;
    }

    /** Whether all requests are rejected. */
    public boolean isFencedAt(long now) {
        return now >= fencedFrom;
    }
}
