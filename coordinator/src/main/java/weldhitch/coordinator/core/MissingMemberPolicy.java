package weldhitch.coordinator.core;

/** What becomes of a version when a member does not vote. */
public enum MissingMemberPolicy {
    /** The version is aborted, and the missing members are reported. */
    ABORT,
    /**
     * Members hold leases at all times, and a version is decided once the leases of the missing members
     * have expired.
     */
    FENCE
}
