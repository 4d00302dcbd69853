package weldhitch.coordinator.server;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import weldhitch.coordinator.core.CoordinatorCore;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberHeartbeatResponse;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.locality.FleetView.ZoneLoad;

/**
 * Answers members' calls. The response to a member that knows the current generation may be delayed until the next
 * generation (long polling), up to a maximum time.
 *
 * <p>Not thread-safe; used on the decision thread of {@link CoordinatorLoop}. Times are nanoseconds of the monotonic
 * clock.
 */
final class MemberCallHandler {
    private static final long MAX_LONG_POLL_MS = 2000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * A member's long poll that waits for an update.
     *
     * @param deadline time at which the long poll is answered even without an update
     */
    private record PendingMemberCall(MemberRequest request, long deadline, Consumer<MemberResponse> responder) {}

    private final CoordinatorCore core;
    private final double maxClockDrift;
    private final List<PendingMemberCall> pendingCalls = new ArrayList<>();
    /** The state of the current or last leadership; null before this coordinator's first leadership. */
    private LeaderSoftState softState;

    MemberCallHandler(CoordinatorCore core, double maxClockDrift) {
        this.core = core;
        this.maxClockDrift = maxClockDrift;
    }

    /**
     * Handles a call and answers it now or later. Returns whether the call may change what is proposed next, because it
     * may carry the last missing vote or come from a member that is joining.
     */
    boolean onCall(MemberRequest request, long now, Consumer<MemberResponse> responder) {
        MemberHeartbeat call = request.heartbeat();
        MemberHeartbeatResponse answer = core.onMemberCall(now, call);
        if (answer.fromLeader()) {
            currentSoftState().onReport(request, now);
        }
        if (answer.fromLeader()
                && request.waitMillis() > 0
                && answer.joined()
                && call.generation() >= answer.generation()) {
            long waitMillis = Math.min(MAX_LONG_POLL_MS, request.waitMillis());
            pendingCalls.add(new PendingMemberCall(request, now + waitMillis * NANOS_PER_MILLI, responder));
        } else {
            responder.accept(response(answer, request, now));
        }
        return call.votedVersion() != 0 || !answer.joined();
    }

    /** Answers the long polls whose deadline has passed, or all of them if this coordinator is not the leader. */
    void answerExpired(long now) {
        answer(now, false);
    }

    /** Answers all long polls because there is an update. */
    void answerAll(long now) {
        answer(now, true);
    }

    private void answer(long now, boolean all) {
        boolean isLeader = core.isLeader(now);
        for (Iterator<PendingMemberCall> iterator = pendingCalls.iterator(); iterator.hasNext(); ) {
            PendingMemberCall pendingCall = iterator.next();
            if (all || !isLeader || now >= pendingCall.deadline) {
                iterator.remove();
                pendingCall.responder.accept(
                        response(core.onMemberCall(now, pendingCall.request.heartbeat()), pendingCall.request, now));
            }
        }
    }

    /** Returns the loads of all zones. Must be called only while this coordinator is the leader. */
    Map<String, ZoneLoad> zoneLoads(long now) {
        return currentSoftState().zoneLoads(memberCount(), now);
    }

    private MemberResponse response(MemberHeartbeatResponse answer, MemberRequest request, long now) {
        return answer.fromLeader()
                ? currentSoftState().response(answer, request, memberCount(), now)
                : new MemberResponse(answer, null, LeaderSoftState.NO_POLL_SLOT);
    }

    private int memberCount() {
        return core.fleetState().members().size();
    }

    private LeaderSoftState currentSoftState() {
        if (softState == null || !softState.belongsTo(core.leadingSince())) {
            softState = new LeaderSoftState(core.leadingSince(), maxClockDrift);
        }
        return softState;
    }
}
