package weldhitch.fleet.activation;

/**
 * A coordinator's response to a member's heartbeat. Immutable.
 *
 * @param fromLeader whether the responder is the leader; of a follower's response only a decision counts
 * @param leaderHint the leader as far as the responder knows it, or null
 * @param generation of the latest committed command
 * @param joined whether this incarnation of the member is registered
 * @param leaseGranted whether the member is granted a lease, which starts when it sent its heartbeat
 * @param leaseDuration how long a lease may be used, in nanoseconds of the member's clock
 * @param clockId id of the fleet clock
 * @param clockReading what the fleet clock showed when this response was made
 * @param clockError by how much {@code clockReading} may be wrong, in either direction, in nanoseconds
 * @param activeVersion the active version
 * @param pendingVersion a version that is prepared and not decided, or null
 * @param outcome how the pending version was decided, or null
 * @param leaseRequired whether members need a lease at all times, as versions may be committed without absent
 *     members
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
    /** The response of a follower: it passes on decisions it knows, which are final, and grants no lease. */
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
