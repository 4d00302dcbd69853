package weldhitch.coordinator.server;

import java.util.Map;
import weldhitch.fleet.activation.MemberHeartbeatResponse;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.locality.FleetView;
import weldhitch.fleet.locality.FleetView.ZoneLoad;
import weldhitch.fleet.locality.ZoneLoadAggregator;
import weldhitch.fleet.turns.PollSlots;

/**
 * The zone loads and poll slots of one leadership. They are kept in memory only and start empty, because a new leader
 * does not know what a former leader has granted.
 *
 * <p>Not thread-safe; used on the decision thread of {@link CoordinatorLoop}. Times are nanoseconds of the monotonic
 * clock.
 */
final class LeaderSoftState {
    /** The poll slot delay in a response that assigns no poll slot. */
    static final long NO_POLL_SLOT = -1;

    private final long leadingSince;
    private final ZoneLoadAggregator zoneLoads;
    private final PollSlots pollSlots = new PollSlots();

    /** Creates the empty state of the leadership that began at {@code leadingSince}. */
    LeaderSoftState(long leadingSince, double maxClockDrift) {
        this.leadingSince = leadingSince;
        zoneLoads = new ZoneLoadAggregator(leadingSince, maxClockDrift);
    }

    /** Returns whether this state belongs to the leadership that began at {@code since}. */
    boolean belongsTo(long since) {
        return leadingSince == since;
    }

    /** Records the load report of a call; a member that is leaving, or sends no report, has no load. */
    void onReport(MemberRequest request, long now) {
        zoneLoads.onReport(
                request.heartbeat().member(), request.heartbeat().leaving() ? null : request.loadReport(), now);
    }

    /** Returns the loads of all zones. */
    Map<String, ZoneLoad> zoneLoads(int memberCount, long now) {
        return zoneLoads.zoneLoads(memberCount, now);
    }

    /** Adds the view of the fleet's load to a response, and a poll slot if the request asks for one. */
    MemberResponse response(MemberHeartbeatResponse answer, MemberRequest request, int memberCount, long now) {
        String member = request.heartbeat().member();
        boolean includesZones = answer.joined() && request.loadReport() != null;
        FleetView view = includesZones ? zoneLoads.viewFor(member, memberCount, now) : null;
        long pollSlotDelay = request.ownPollDelayNanos() < 0
                ? NO_POLL_SLOT
                : pollSlots.assign(
                        member + "/" + request.heartbeat().incarnation(),
                        now,
                        Math.min(PollSlots.MAX_DELAY, request.ownPollDelayNanos()));
        return new MemberResponse(answer, view, pollSlotDelay);
    }
}
