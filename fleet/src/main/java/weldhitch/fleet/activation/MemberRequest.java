package weldhitch.fleet.activation;

import weldhitch.fleet.locality.NodeLoadReport;

/**
 * A member's complete request to a coordinator: its heartbeat and what goes with it. Immutable.
 *
 * @param cluster the fleet's name
 * @param waitMillis how long the coordinator may wait for a change before it responds
 * @param heartbeat the heartbeat
 * @param loadReport the node's zone loads; null if it has no locality rules
 * @param ownPollDelayNanos if the member wants a poll slot for the discovery service: how long from now it would wait
 *     by itself, in nanoseconds; else below 0
 */
public record MemberRequest(
        String cluster,
        long waitMillis,
        MemberHeartbeat heartbeat,
        NodeLoadReport loadReport,
        long ownPollDelayNanos) {}
