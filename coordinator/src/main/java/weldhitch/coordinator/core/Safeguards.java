package weldhitch.coordinator.core;

/**
 * The safeguards of a coordinator. All are enabled in production; a test disables one to show which invariant it
 * protects. Immutable.
 *
 * @param awaitLeaseExpiry an activation time lies after the expiry of every lease granted so far
 * @param confirmLeadership a new leader commits a no-op before it acts, so that it knows all earlier commands
 * @param withholdLeases no lease is granted while the commit of a version is undecided
 * @param requireEveryVote a version is committed only with the vote of every member
 */
record Safeguards(
        boolean awaitLeaseExpiry, boolean confirmLeadership, boolean withholdLeases, boolean requireEveryVote) {
    static final Safeguards ALL = new Safeguards(true, true, true, true);
}
