package weldhitch.coordinator.core;

/**
 * The safeguards of a coordinator. All are enabled in production; a test disables one to show which invariant it
 * protects. Immutable.
 *
 * @param awaitLeaseExpiry places the activation time after the expiry of every lease granted so far
 * @param confirmLeadership commits a no-op before a new leader acts, so that it knows all earlier commands
 * @param withholdLeases grants no lease while the commit of a version is undecided
 * @param requireEveryVote commits a version only with the vote of every member
 */
record Safeguards(
        boolean awaitLeaseExpiry, boolean confirmLeadership, boolean withholdLeases, boolean requireEveryVote) {
    static final Safeguards ALL = new Safeguards(true, true, true, true);
}
