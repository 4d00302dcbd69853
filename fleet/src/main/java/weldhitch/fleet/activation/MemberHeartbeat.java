package weldhitch.fleet.activation;

import java.util.List;

/**
 * A member's heartbeat to a coordinator, sent several times a second. Immutable.
 *
 * @param member the member's name
 * @param incarnation an identifier that is new with each start of the process
 * @param generation generation of the latest decision that the member has seen; a coordinator may delay its response
 *     until there is a newer one
 * @param votedVersion the version that the member votes on, 0 for none
 * @param prepared whether the member has built the version's table and could serve the version
 * @param rejectionReasons why the member rejects the version, one per line; null counts as empty
 * @param leaving whether the process is shutting down and is to be removed from the membership
 */
public record MemberHeartbeat(
        String member,
        String incarnation,
        long generation,
        long votedVersion,
        boolean prepared,
        List<String> rejectionReasons,
        boolean leaving) {
    /** Copies the list, so that the record stays immutable. */
    public MemberHeartbeat {
        rejectionReasons = rejectionReasons == null ? List.of() : List.copyOf(rejectionReasons);
    }
}
