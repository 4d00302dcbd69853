package weldhitch.fleet.activation;

import weldhitch.fleet.locality.NodeLoadReport;

/**
 * A member's complete request to a coordinator: its heartbeat, its load report and its request for a poll slot.
 * Immutable.
 *
 * @param cluster the fleet's name
 * @param waitMillis how long the coordinator may wait for a change before it responds, in milliseconds
 * @param heartbeat the heartbeat
 * @param loadReport the node's zone loads; null if it has no locality rules
 * @param ownPollDelayNanos if the member requests a poll slot for the discovery service, its remaining delay before the
 *     next poll without an assigned slot, in nanoseconds; otherwise below 0
 */
public record MemberRequest(
        String cluster,
        long waitMillis,
        MemberHeartbeat heartbeat,
        NodeLoadReport loadReport,
        long ownPollDelayNanos) {}
