package weldhitch.fleet.activation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the state of one member after each response, at given times. */
class ActivationParticipantTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long LEASE = 3000 * NANOS_PER_MILLI;
    private static final RouteVersion VERSION_ONE = new RouteVersion(1, "aa");
    private final ActivationParticipant participant = new ActivationParticipant("m1", "m1#1", 0, true);

    private static MemberHeartbeatResponse response(
            long generation,
            boolean joined,
            boolean leaseGranted,
            long now,
            RouteVersion activeVersion,
            RouteVersion pendingVersion,
            ActivationOutcome outcome) {
        return new MemberHeartbeatResponse(
                true,
                "s1",
                generation,
                joined,
                leaseGranted,
                LEASE,
                "s1/1",
                now,
                0,
                activeVersion,
                pendingVersion,
                outcome,
                false);
    }

    private static ActivationOutcome commit(long activationTime) {
        return new ActivationOutcome(1, true, "s1/1", activationTime, List.of());
    }

    @BeforeEach
    void joinFleet() {
        assertTrue(participant.activeVersions(0).isFencedAt(0), "fenced before a coordinator has responded");
        participant.onResponse(
                0, 2 * NANOS_PER_MILLI, response(1, false, false, NANOS_PER_MILLI, RouteVersion.OWN_FILE, null, null));
        assertTrue(
                participant.activeVersions(2 * NANOS_PER_MILLI).isFencedAt(2 * NANOS_PER_MILLI),
                "fenced before it is registered");
        participant.onResponse(
                10 * NANOS_PER_MILLI,
                12 * NANOS_PER_MILLI,
                response(2, true, true, 11 * NANOS_PER_MILLI, RouteVersion.OWN_FILE, null, null));
        assertFalse(participant.activeVersions(12 * NANOS_PER_MILLI).isFencedAt(12 * NANOS_PER_MILLI));
    }

    /** Brings the member into the state after it has voted at {@code at}. */
    private void voteAt(long at) {
        participant.onResponse(
                at - 20 * NANOS_PER_MILLI,
                at - 18 * NANOS_PER_MILLI,
                response(3, true, true, at - 19 * NANOS_PER_MILLI, RouteVersion.OWN_FILE, VERSION_ONE, null));
        participant.onPrepared(at - 10 * NANOS_PER_MILLI, 1, List.of());
        MemberHeartbeat heartbeat = participant.heartbeat(at);
        assertTrue(heartbeat.votedVersion() == 1 && heartbeat.prepared());
    }

    @Test
    void unreachableCoordinatorsChangeNothingWithoutAPendingVersion() {
        long muchLater = 3_600_000 * NANOS_PER_MILLI;
        assertFalse(participant.activeVersions(muchLater).isFencedAt(muchLater)
                || participant.activeVersions(muchLater).isInDoubtAt(muchLater));
        assertEquals(0, participant.activeVersions(muchLater).versionAt(muchLater));
    }

    @Test
    void isNotInDoubtBeforeItVotes() {
        participant.onResponse(
                100 * NANOS_PER_MILLI,
                102 * NANOS_PER_MILLI,
                response(3, true, true, 101 * NANOS_PER_MILLI, RouteVersion.OWN_FILE, VERSION_ONE, null));
        participant.onPrepared(110 * NANOS_PER_MILLI, 1, List.of());
        assertFalse(participant.activeVersions(3_600_000 * NANOS_PER_MILLI).isInDoubtAt(3_600_000 * NANOS_PER_MILLI));
    }

    @Test
    void isInDoubtOnceItsLeaseExpiresAfterItsVote() {
        voteAt(1000 * NANOS_PER_MILLI);
        ActiveVersions activeVersions = participant.activeVersions(1001 * NANOS_PER_MILLI);
        assertFalse(activeVersions.isInDoubtAt(1000 * NANOS_PER_MILLI + LEASE - 1));
        assertTrue(activeVersions.isInDoubtAt(1000 * NANOS_PER_MILLI + LEASE));
        assertFalse(
                activeVersions.isFencedAt(1000 * NANOS_PER_MILLI + LEASE),
                "requests that the versions do not treat differently are served");
        assertEquals(1, activeVersions.next());
    }

    @Test
    void leaseStartsWhenItsHeartbeatIsSent() {
        voteAt(1000 * NANOS_PER_MILLI);
        participant.onResponse(
                1500 * NANOS_PER_MILLI,
                2400 * NANOS_PER_MILLI,
                response(3, true, true, 2300 * NANOS_PER_MILLI, RouteVersion.OWN_FILE, VERSION_ONE, null));
        assertTrue(participant.activeVersions(2400 * NANOS_PER_MILLI).isInDoubtAt(1500 * NANOS_PER_MILLI + LEASE));
        assertFalse(participant.activeVersions(2400 * NANOS_PER_MILLI).isInDoubtAt(1500 * NANOS_PER_MILLI + LEASE - 1));
    }

    @Test
    void switchesAtTheActivationTimeWhateverItReceivesMeanwhile() {
        voteAt(1000 * NANOS_PER_MILLI);
        participant.onResponse(
                1100 * NANOS_PER_MILLI,
                1102 * NANOS_PER_MILLI,
                response(
                        4,
                        true,
                        true,
                        1101 * NANOS_PER_MILLI,
                        RouteVersion.OWN_FILE,
                        VERSION_ONE,
                        commit(4600 * NANOS_PER_MILLI)));
        ActiveVersions activeVersions = participant.activeVersions(1102 * NANOS_PER_MILLI);
        assertEquals(0, activeVersions.versionAt(4598 * NANOS_PER_MILLI));
        assertEquals(1, activeVersions.versionAt(4602 * NANOS_PER_MILLI));
        assertFalse(activeVersions.isInDoubtAt(4500 * NANOS_PER_MILLI), "no lease is needed if the time is known");
        // A process that was suspended reads the same object much later and gets the new version.
        assertEquals(1, activeVersions.versionAt(9000 * NANOS_PER_MILLI));
    }

    /**
     * All coordinators have failed, and with them the clock that the activation time refers to, so a lease granted
     * afterwards gives no information about the activation time.
     */
    @Test
    void leasesAfterACommitDoNotExtendTheOldVersion() {
        voteAt(1000 * NANOS_PER_MILLI);
        ActivationOutcome outcomeOfLostClock =
                new ActivationOutcome(1, true, "s9/9", 4600 * NANOS_PER_MILLI, List.of());
        participant.onResponse(
                3900 * NANOS_PER_MILLI,
                3902 * NANOS_PER_MILLI,
                response(
                        4, true, true, 3901 * NANOS_PER_MILLI, RouteVersion.OWN_FILE, VERSION_ONE, outcomeOfLostClock));
        assertTrue(participant.activeVersions(3902 * NANOS_PER_MILLI).isInDoubtAt(1000 * NANOS_PER_MILLI + LEASE));
        participant.onResponse(
                5000 * NANOS_PER_MILLI,
                5002 * NANOS_PER_MILLI,
                response(5, true, true, 5001 * NANOS_PER_MILLI, VERSION_ONE, null, outcomeOfLostClock));
        assertEquals(
                1,
                participant.activeVersions(5002 * NANOS_PER_MILLI).versionAt(5002 * NANOS_PER_MILLI),
                "the leader reports it as active");
    }

    @Test
    void rejectionIsReportedAndTheVersionIsDroppedWithItsReasons() {
        participant.onResponse(
                100 * NANOS_PER_MILLI,
                102 * NANOS_PER_MILLI,
                response(3, true, true, 101 * NANOS_PER_MILLI, RouteVersion.OWN_FILE, VERSION_ONE, null));
        participant.onPrepared(110 * NANOS_PER_MILLI, 1, List.of("v.toml:3: no"));
        MemberHeartbeat heartbeat = participant.heartbeat(120 * NANOS_PER_MILLI);
        assertTrue(heartbeat.votedVersion() == 1
                && !heartbeat.prepared()
                && heartbeat.rejectionReasons().equals(List.of("v.toml:3: no")));
        List<ActivationParticipant.Effect> effects = participant.onResponse(
                200 * NANOS_PER_MILLI,
                202 * NANOS_PER_MILLI,
                response(
                        4,
                        true,
                        true,
                        201 * NANOS_PER_MILLI,
                        RouteVersion.OWN_FILE,
                        null,
                        new ActivationOutcome(1, false, null, 0, List.of("m1: v.toml:3: no"))));
        assertTrue(
                effects.contains(new ActivationParticipant.LogEvent("version 1 aborted: m1: v.toml:3: no")),
                effects.toString());
        assertNull(participant.activeVersions(202 * NANOS_PER_MILLI).next());
    }

    @Test
    void staleAndNonLeaderResponsesAreIgnored() {
        voteAt(1000 * NANOS_PER_MILLI);
        assertEquals(
                List.of(),
                participant.onResponse(
                        2000 * NANOS_PER_MILLI,
                        2002 * NANOS_PER_MILLI,
                        response(1, true, true, 2001 * NANOS_PER_MILLI, RouteVersion.OWN_FILE, null, null)));
        assertEquals(
                List.of(),
                participant.onResponse(
                        2000 * NANOS_PER_MILLI,
                        2002 * NANOS_PER_MILLI,
                        MemberHeartbeatResponse.fromFollower("s2", 3, RouteVersion.OWN_FILE, VERSION_ONE, null)));
        assertEquals(1, participant.activeVersions(2002 * NANOS_PER_MILLI).next());
        assertTrue(participant.activeVersions(2002 * NANOS_PER_MILLI).isInDoubtAt(1000 * NANOS_PER_MILLI + LEASE));
    }

    /**
     * The leader fails before it can report its decision. Another coordinator knows the decision, and the member
     * knows the clock that the activation time refers to.
     */
    @Test
    void commitIsAcceptedFromAnyCoordinator() {
        voteAt(1000 * NANOS_PER_MILLI);
        participant.onResponse(
                1100 * NANOS_PER_MILLI,
                1102 * NANOS_PER_MILLI,
                MemberHeartbeatResponse.fromFollower(
                        null, 4, RouteVersion.OWN_FILE, VERSION_ONE, commit(4600 * NANOS_PER_MILLI)));
        ActiveVersions activeVersions = participant.activeVersions(1102 * NANOS_PER_MILLI);
        assertFalse(activeVersions.isInDoubtAt(4500 * NANOS_PER_MILLI));
        assertEquals(1, activeVersions.versionAt(4602 * NANOS_PER_MILLI));
    }

    /**
     * With a round trip of 400 ms, the member must neither use the new version too early nor the old one too long.
     */
    @Test
    void largeClockErrorRejectsDifferingRequestsAroundTheSwitch() {
        ActivationParticipant slowMember = new ActivationParticipant("m2", "m2#1", 0, true);
        slowMember.onResponse(
                0,
                400 * NANOS_PER_MILLI,
                response(2, true, true, 200 * NANOS_PER_MILLI, RouteVersion.OWN_FILE, VERSION_ONE, null));
        slowMember.onPrepared(410 * NANOS_PER_MILLI, 1, List.of());
        slowMember.heartbeat(420 * NANOS_PER_MILLI);
        List<ActivationParticipant.Effect> effects = slowMember.onResponse(
                420 * NANOS_PER_MILLI,
                820 * NANOS_PER_MILLI,
                response(
                        3,
                        true,
                        true,
                        620 * NANOS_PER_MILLI,
                        RouteVersion.OWN_FILE,
                        VERSION_ONE,
                        commit(4600 * NANOS_PER_MILLI)));
        assertTrue(
                effects.stream()
                        .anyMatch(effect -> effect instanceof ActivationParticipant.LogEvent logEvent
                                && logEvent.message().startsWith("clock-error-too-large: m2: ")),
                "" + effects);
        ActiveVersions activeVersions = slowMember.activeVersions(820 * NANOS_PER_MILLI);
        assertFalse(activeVersions.isInDoubtAt(4399 * NANOS_PER_MILLI));
        assertTrue(activeVersions.isInDoubtAt(4401 * NANOS_PER_MILLI)
                && activeVersions.isInDoubtAt(4799 * NANOS_PER_MILLI));
        assertEquals(0, activeVersions.versionAt(4799 * NANOS_PER_MILLI));
        assertEquals(1, activeVersions.versionAt(4801 * NANOS_PER_MILLI));
        slowMember.onResponse(
                900 * NANOS_PER_MILLI,
                902 * NANOS_PER_MILLI,
                response(
                        3,
                        true,
                        true,
                        901 * NANOS_PER_MILLI,
                        RouteVersion.OWN_FILE,
                        VERSION_ONE,
                        commit(4600 * NANOS_PER_MILLI)));
        assertFalse(
                slowMember.activeVersions(902 * NANOS_PER_MILLI).isInDoubtAt(4500 * NANOS_PER_MILLI),
                "a faster round trip bounds the error more tightly");
        assertEquals(1, slowMember.activeVersions(902 * NANOS_PER_MILLI).versionAt(4602 * NANOS_PER_MILLI));
    }

    /**
     * A member that joins after the commit and has not built the version must not serve the old one past the activation
     * time.
     */
    @Test
    void lateJoinerIsFencedFromTheActivationTimeUntilItHasTheVersion() {
        participant.onResponse(
                1100 * NANOS_PER_MILLI,
                1102 * NANOS_PER_MILLI,
                response(
                        4,
                        true,
                        true,
                        1101 * NANOS_PER_MILLI,
                        RouteVersion.OWN_FILE,
                        VERSION_ONE,
                        commit(4600 * NANOS_PER_MILLI)));
        ActiveVersions activeVersions = participant.activeVersions(1102 * NANOS_PER_MILLI);
        assertFalse(activeVersions.isFencedAt(4598 * NANOS_PER_MILLI));
        assertTrue(activeVersions.isFencedAt(4602 * NANOS_PER_MILLI));
        participant.onPrepared(4700 * NANOS_PER_MILLI, 1, List.of());
        assertEquals(1, participant.activeVersions(4700 * NANOS_PER_MILLI).versionAt(4700 * NANOS_PER_MILLI));
        assertFalse(participant.activeVersions(4700 * NANOS_PER_MILLI).isFencedAt(4700 * NANOS_PER_MILLI));
    }

    @Test
    void clockErrorIsHalfARoundTripAndTheBestReadingCounts() {
        ClockEstimate clock = new ClockEstimate(0.001);
        clock.addReading("a", 0, 100, 1050, 0);
        assertEquals(1000, clock.remoteTimeAt(100) - 100, 1);
        assertEquals(50, clock.errorBound(100), 1);
        clock.addReading("a", 200, 210, 1206, 0);
        assertTrue(clock.errorBound(210) <= 6, "" + clock.errorBound(210));
        clock.addReading("a", 300, 900, 1400, 0);
        assertTrue(clock.errorBound(900) <= 8, "a slow round trip does not widen the bound: " + clock.errorBound(900));
        assertTrue(clock.errorBound(1_000_900) >= 1900, "drift widens the bound");
        clock.addReading("b", 2_000_000, 2_000_100, 50, 7);
        assertEquals("b", clock.clockId());
        assertEquals(57, clock.errorBound(2_000_100), 1);
    }
}
