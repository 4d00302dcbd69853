package weldhitch.fleet.activation;

/**
 * A coordinator's response to a member's heartbeat. Immutable.
 *
 * @param fromLeader whether the responder is the leader; members use only the outcome of a follower's response
 * @param leaderHint the leader as far as the responder knows it, or null
 * @param generation generation of the latest committed command
 * @param joined whether this incarnation of the member is registered
 * @param leaseGranted whether the member is granted a lease, which starts when it sent its heartbeat
 * @param leaseDuration how long a lease may be used, in nanoseconds of the member's clock
 * @param clockId id of the fleet clock
 * @param clockReading the time of the fleet clock when this response was created, in nanoseconds
 * @param clockError the maximum error of {@code clockReading}, in either direction, in nanoseconds
 * @param activeVersion the active version
 * @param pendingVersion the version that is prepared and not active yet, or null
 * @param outcome the outcome of the pending version, or null
 * @param leaseRequired whether members need a lease at all times because versions may be committed without the votes
 *     of missing members
 */
public record MemberHeartbeatResponse(
        boolean fromLeader,
        String leaderHint,
        long generation,
        boolean joined,
        boolean leaseGranted,
        long leaseDuration,
        String clockId,
        long clockReading,
        long clockError,
        RouteVersion activeVersion,
        RouteVersion pendingVersion,
        ActivationOutcome outcome,
        boolean leaseRequired) {
    /** Creates the response of a follower, which reports outcomes, because they are final, and grants no lease. */
    public static MemberHeartbeatResponse fromFollower(
            String leaderHint,
            long generation,
            RouteVersion activeVersion,
            RouteVersion pendingVersion,
            ActivationOutcome outcome) {
        return new MemberHeartbeatResponse(
                false,
                leaderHint,
                generation,
                false,
                false,
                0,
                null,
                0,
                0,
                activeVersion,
                pendingVersion,
                outcome,
                false);
    }
}
