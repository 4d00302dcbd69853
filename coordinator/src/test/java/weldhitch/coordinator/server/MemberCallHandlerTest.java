package weldhitch.coordinator.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import weldhitch.consensus.AcceptorState;
import weldhitch.coordinator.core.CoordinatorConfig;
import weldhitch.coordinator.core.CoordinatorCore;
import weldhitch.coordinator.core.MissingMemberPolicy;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;

/** Tests members' calls to a cluster of one coordinator, in virtual time. */
class MemberCallHandlerTest {
    private static final LeaseTiming TIMING = LeaseTiming.DEFAULT;
    private static final long MILLI = 1_000_000;
    /** Later than any first election timeout. */
    private static final long START = 2 * TIMING.leaderLease();

    private final CoordinatorCore core = new CoordinatorCore(
            new CoordinatorConfig("s1", "i1", List.of("s1"), TIMING, MissingMemberPolicy.ABORT),
            AcceptorState.INITIAL,
            true,
            0,
            7);
    private final MemberCallHandler calls = new MemberCallHandler(core, TIMING.maxClockDrift());
    private final List<MemberResponse> responses = new ArrayList<>();

    private boolean call(long now, long waitMillis, long ownPollDelayNanos) {
        MemberHeartbeat heartbeat = new MemberHeartbeat("m1", "x", core.generation(), 0, false, List.of(), false);
        return calls.onCall(
                new MemberRequest("kigali", waitMillis, heartbeat, null, ownPollDelayNanos), now, responses::add);
    }

    private void joinLeader() {
        core.tick(START);
        assertTrue(core.isLeader(START));
        assertTrue(call(START, 1000, -1), "a joining member changes what is proposed next");
        core.tick(START);
        responses.clear();
    }

    @Test
    void followerAnswersAtOnceWithoutAPollSlot() {
        assertTrue(call(0, 1000, 0));
        assertFalse(responses.get(0).heartbeat().fromLeader());
        assertEquals(LeaderSoftState.NO_POLL_SLOT, responses.get(0).pollSlotDelayNanos());
    }

    @Test
    void longPollIsAnsweredAtItsDeadline() {
        joinLeader();
        assertFalse(call(START, 100, -1));
        calls.answerExpired(START + 99 * MILLI);
        assertEquals(List.of(), responses);
        calls.answerExpired(START + 100 * MILLI);
        assertTrue(responses.get(0).heartbeat().joined());
        calls.answerAll(START + 100 * MILLI);
        assertEquals(1, responses.size(), "a long poll is answered once");
    }

    @Test
    void updateAnswersAllLongPolls() {
        joinLeader();
        call(START, 1000, -1);
        calls.answerAll(START);
        assertEquals(1, responses.size());
    }

    @Test
    void leaderAssignsAPollSlotAndKnowsNoZonesAtFirst() {
        joinLeader();
        call(START, 0, 0);
        assertTrue(responses.get(0).pollSlotDelayNanos() >= 0);
        assertEquals(Map.of(), calls.zoneLoads(START));
    }
}
