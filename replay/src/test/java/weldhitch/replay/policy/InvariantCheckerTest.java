package weldhitch.replay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.event.ZonesAssigned;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.PlatformLimits;
import weldhitch.decision.settings.PlatformRules;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.settings.WeightKind;
import weldhitch.replay.policy.InvariantChecker.Invariant;
import weldhitch.replay.policy.InvariantChecker.Violation;

/** Tests that correct runs pass, and that each kind of violation is reported. */
class InvariantCheckerTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1000 * MS;

    private final InvariantChecker checker = new InvariantChecker();
    private long now = 100 * SECOND;

    private static BalancerSettings settings(boolean hedgingAllowed) {
        return new BalancerSettings(
                "a",
                List.of("a", "b"),
                0,
                0,
                1,
                List.of(
                        new RequestClass(
                                "safe",
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                300 * MS,
                                0,
                                SECOND,
                                3,
                                0.5,
                                false),
                        new RequestClass(
                                "unsafe",
                                Idempotency.NON_IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                300 * MS,
                                0,
                                SECOND,
                                9,
                                0.2,
                                false),
                        new RequestClass(
                                "keyed",
                                Idempotency.IDEMPOTENCY_KEY,
                                DeduplicationScope.ZONE,
                                400 * MS,
                                300 * MS,
                                0,
                                SECOND,
                                2,
                                0.5,
                                false)),
                List.of(),
                1,
                false,
                false,
                WeightKind.NONE,
                List.of(),
                0,
                2 * MS,
                new PlatformLimits(4, hedgingAllowed, true, false, true, SECOND, 100 * MS),
                new PlatformRules(0.25, 10 * SECOND, 3, 2 * SECOND, SECOND, 8 * MS, 4 * SECOND));
    }

    @BeforeEach
    void startChecker() {
        startChecker(false);
    }

    private void startChecker(boolean hedgingAllowed) {
        BalancerSettings settings = settings(hedgingAllowed);
        checker.start(now, settings, new RatioBalancer(settings, 1).snapshot());
        observe(new EndpointsChanged(
                EndpointUpdateKind.FULL,
                List.of(endpointEntry("a1", "a", 0), endpointEntry("a2", "a", 0), endpointEntry("b1", "b", 0))));
    }

    private static EndpointEntry endpointEntry(String id, String zone, long startedAt) {
        return new EndpointEntry(id, zone, 1, EndpointState.READY, 1, startedAt);
    }

    private void observe(BalancerEvent event, BalancerAction... actions) {
        checker.onEvent(now, event, List.of(actions));
    }

    private void requestArrives(String id, String requestClass, BalancerAction... actions) {
        observe(new RequestArrived(id, requestClass, now + SECOND, null, 0, false), actions);
    }

    private void attemptEnds(String id, int attempt, AttemptOutcome outcome, BalancerAction... actions) {
        observe(new AttemptEnded(id, attempt, "a1", outcome, MS, outcome == AttemptOutcome.OK, null), actions);
    }

    private void expectViolation(Invariant invariant, String textPart) {
        List<Violation> violations = checker.violations();
        assertEquals(1, violations.size(), violations.toString());
        assertEquals(invariant, violations.get(0).invariant());
        assertTrue(violations.get(0).description().contains(textPart), violations.toString());
    }

    @Test
    void correctRequestsCauseNoViolation() {
        requestArrives("r1", "unsafe", new SendAttempt("r1", "a1", 0));
        now += 100 * MS;
        attemptEnds("r1", 0, AttemptOutcome.FULL, new SendAttempt("r1", "a2", 0));
        attemptEnds("r1", 1, AttemptOutcome.OK);
        requestArrives("r2", "unsafe", new SendAttempt("r2", "a1", 0));
        attemptEnds("r2", 0, AttemptOutcome.RESET, new FailRequest("r2"));
        requestArrives("r3", "unsafe", new RejectRequest("r3", 0));
        requestArrives("r4", "safe", new SendAttempt("r4", "a1", 0));
        observe(new ClientDisconnected("r4"), new CancelAttempt("r4", 0));
        attemptEnds("r4", 0, AttemptOutcome.CANCELLED);
        requestArrives("r5", "keyed", new SendAttempt("r5", "a1", 0));
        attemptEnds("r5", 0, AttemptOutcome.TIMED_OUT, new SendAttempt("r5", "a2", 0));
        attemptEnds("r5", 1, AttemptOutcome.OK);
        now += 5 * SECOND;
        observe(new TimerFired("due"));
        assertEquals(List.of(), checker.violations());
        assertEquals(4, checker.answered());
        assertEquals(0, checker.openRequests());
    }

    @Test
    void missingAnswerAtDeadlineIsReported() {
        requestArrives("r", "safe", new SendAttempt("r", "a1", 0));
        now += SECOND + 58 * MS;
        observe(new TimerFired("due"));
        assertEquals(List.of(), checker.violations());
        now += MS;
        observe(new TimerFired("due"));
        expectViolation(Invariant.ONE_ANSWER, "has no final answer");
    }

    @Test
    void secondAnswerIsReported() {
        requestArrives("r", "safe", new SendAttempt("r", "a1", 0), new SendAttempt("r", "a2", 0));
        startChecker(true);
        requestArrives("s", "safe", new SendAttempt("s", "a1", 0), new SendAttempt("s", "a2", 0));
        attemptEnds("s", 0, AttemptOutcome.OK, new RejectRequest("s", 0));
        assertTrue(checker.violations().stream()
                .anyMatch(b -> b.subject().equals("s") && b.description().contains("after its final answer")));
    }

    @Test
    void sendAfterFinalAnswerIsReported() {
        requestArrives("r", "safe", new SendAttempt("r", "a1", 0));
        attemptEnds("r", 0, AttemptOutcome.OK, new SendAttempt("r", "a2", 0));
        expectViolation(Invariant.ONE_ANSWER, "after its final answer");
    }

    @Test
    void repeatedSendOfPossiblyExecutedNonIdempotentRequestIsReported() {
        requestArrives("r", "unsafe", new SendAttempt("r", "a1", 0));
        attemptEnds("r", 0, AttemptOutcome.RESET, new SendAttempt("r", "a2", 0));
        expectViolation(Invariant.NO_EFFECT_TWICE, "may have run at a1");
    }

    @Test
    void rejectionOfPossiblyExecutedNonIdempotentRequestIsReported() {
        requestArrives("r", "unsafe", new SendAttempt("r", "a1", 0));
        attemptEnds("r", 0, AttemptOutcome.TIMED_OUT, new RejectRequest("r", 0));
        expectViolation(Invariant.NO_EFFECT_TWICE, "rejected although it may have run");
    }

    @Test
    void unknownRequestClassIsTreatedAsNonIdempotent() {
        requestArrives("r", "unheard", new SendAttempt("r", "a1", 0));
        attemptEnds("r", 0, AttemptOutcome.ERROR, new SendAttempt("r", "a2", 0));
        expectViolation(Invariant.NO_EFFECT_TWICE, "may have run");
    }

    @Test
    void repeatedSendOutsideDeduplicationScopeIsReported() {
        requestArrives("r", "keyed", new SendAttempt("r", "a1", 0));
        attemptEnds("r", 0, AttemptOutcome.TIMED_OUT, new SendAttempt("r", "b1", 0));
        expectViolation(Invariant.NO_EFFECT_TWICE, "is outside its deduplication scope");
    }

    @Test
    void repeatedSendAfterDeduplicationWindowIsReported() {
        requestArrives("r", "keyed", new SendAttempt("r", "a1", 0));
        now += 451 * MS;
        attemptEnds("r", 0, AttemptOutcome.TIMED_OUT, new SendAttempt("r", "a2", 0));
        expectViolation(Invariant.NO_EFFECT_TWICE, "after its deduplication window");
    }

    @Test
    void concurrentAttemptsAreReportedWhereHedgingIsNotAllowed() {
        requestArrives("r", "safe", new SendAttempt("r", "a1", 0), new SendAttempt("r", "a2", 0));
        expectViolation(Invariant.NO_EFFECT_TWICE, "twice at the same time");
    }

    @Test
    void sendToDrainingEndpointAfterGracePeriodIsReported() {
        observe(new EndpointsChanged(
                EndpointUpdateKind.DELTA, List.of(new EndpointEntry("a1", "a", 1, EndpointState.DRAINING, 1, 0))));
        now += SECOND + 50 * MS;
        requestArrives("r", "safe", new SendAttempt("r", "a1", 0));
        assertEquals(List.of(), checker.violations());
        now += MS;
        requestArrives("s", "safe", new SendAttempt("s", "a1", 0));
        expectViolation(Invariant.DRAIN, "after it stopped being ready; it is draining");
    }

    @Test
    void removalDoesNotRestartDrainGracePeriod() {
        observe(new EndpointsChanged(
                EndpointUpdateKind.DELTA, List.of(new EndpointEntry("a1", "a", 1, EndpointState.DRAINING, 1, 0))));
        now += SECOND;
        observe(new EndpointsChanged(EndpointUpdateKind.FULL, List.of(endpointEntry("a2", "a", 0))));
        now += 51 * MS;
        requestArrives("r", "safe", new SendAttempt("r", "a1", 0));
        expectViolation(Invariant.DRAIN, "after it stopped being ready; it is removed");
    }

    @Test
    void sendToUnlistedEndpointIsReported() {
        requestArrives("r", "safe", new SendAttempt("r", "z9", 0));
        expectViolation(Invariant.DRAIN, "no endpoint list contains it");
    }

    /**
     * Two warmed-up endpoints receive 20 attempts each within two seconds. An endpoint that has just started, at a
     * quarter of its capacity, may then receive 15 attempts, plus a margin for random variation.
     */
    @Test
    void overloadDuringSlowStartIsReported() {
        now += 20 * SECOND;
        observe(new EndpointsChanged(
                EndpointUpdateKind.DELTA,
                List.of(endpointEntry("c", "a", now), new EndpointEntry("b1", "b", 1, EndpointState.REMOVED, 1, 0))));
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            targets.add("a1");
            targets.add("a2");
        }
        for (int i = 0; i < 26; i++) {
            targets.add("c");
        }
        int sent = 0;
        for (String endpointId : targets) {
            requestArrives("r" + sent, "safe", new SendAttempt("r" + sent, endpointId, 0));
            observe(new AttemptEnded("r" + sent++, 0, endpointId, AttemptOutcome.OK, MS, true, null));
        }
        assertEquals(List.of(), checker.violations());
        requestArrives("one", "safe", new SendAttempt("one", "c", 0));
        expectViolation(Invariant.SLOW_START, "but only 15 are allowed");
    }

    @Test
    void sendOutsideAllowedZonesIsReported() {
        observe(
                new RequestArrived("r", "safe", now + SECOND, null, 0, false, null, null, List.of("a")),
                new SendAttempt("r", "a1", 0));
        attemptEnds("r", 0, AttemptOutcome.FULL, new RequestZones("r"));
        observe(new ZonesAssigned("r", List.of("b")), new SendAttempt("r", "b1", 0));
        assertEquals(List.of(), checker.violations());
        observe(new AttemptEnded("r", 1, "b1", AttemptOutcome.FULL, MS, false, null), new SendAttempt("r", "a2", 0));
        expectViolation(Invariant.ZONE, "zone a, but its allowed zones are b");
    }

    @Test
    void requestsOpenInInitialSnapshotAreChecked() {
        BalancerSettings settings = settings(false);
        RatioBalancer balancer = new RatioBalancer(settings, 1);
        balancer.handle(
                now,
                new EndpointsChanged(
                        EndpointUpdateKind.FULL, List.of(endpointEntry("a1", "a", 0), endpointEntry("a2", "a", 0))));
        String endpointId = ((SendAttempt)
                        balancer.handle(now, new RequestArrived("r", "unsafe", now + SECOND, null, 0, false))
                                .get(0))
                .endpointId();
        checker.start(now, settings, balancer.snapshot());
        assertEquals(1, checker.openRequests());
        attemptEnds("r", 0, AttemptOutcome.ERROR, new SendAttempt("r", endpointId.equals("a1") ? "a2" : "a1", 0));
        expectViolation(Invariant.NO_EFFECT_TWICE, "may have run at " + endpointId);
    }
}
