package weldhitch.fleet.activation;

import weldhitch.fleet.locality.FleetView;

/**
 * A coordinator's complete response to a {@link MemberRequest}. Immutable.
 *
 * @param heartbeat the response to the heartbeat
 * @param fleetView zone loads and quota grants, if the member reported zones and the responder leads; else null
 * @param pollSlotDelayNanos how long the member has to wait from now before it polls the discovery service, in
 *     nanoseconds; below 0 if no poll slot was assigned
 */
public record MemberResponse(MemberHeartbeatResponse heartbeat, FleetView fleetView, long pollSlotDelayNanos) {}
