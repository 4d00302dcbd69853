package weldhitch.fleet.activation;

import weldhitch.fleet.locality.FleetView;

/**
 * A coordinator's complete response to a {@link MemberRequest}. Immutable.
 *
 * @param heartbeat the response to the heartbeat
 * @param fleetView zone loads and quota grants if the member sent a load report and the responder is the leader;
 *     otherwise null
 * @param pollSlotDelayNanos how long from now the member has to wait before it polls the discovery service, in
 *     nanoseconds; below 0 if no poll slot was assigned
 */
public record MemberResponse(MemberHeartbeatResponse heartbeat, FleetView fleetView, long pollSlotDelayNanos) {}
