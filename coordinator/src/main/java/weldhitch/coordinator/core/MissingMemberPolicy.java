package weldhitch.coordinator.core;

/** Determines how a version is decided when a member does not vote. */
public enum MissingMemberPolicy {
    /** Aborts the version and reports the missing members. */
    ABORT,
    /**
     * Requires members to hold a lease at all times, and decides a version without the missing members once their
     * leases have expired.
     */
    FENCE
}
