package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.SECOND;
import static weldhitch.decision.balancing.BalancerHarness.chosenEndpoint;
import static weldhitch.decision.balancing.BalancerHarness.single;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ZonesAssigned;

/** Tests requests that are restricted to zones. */
class ZoneRestrictionTest {
    private static BalancerHarness harnessWithTwoZones() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings();
        harness.handle(new EndpointsChanged(
                EndpointUpdateKind.FULL,
                List.of(entry("e1", "east"), entry("e2", "east"), entry("w1", "west"), entry("w2", "west"))));
        return harness;
    }

    private static EndpointEntry entry(String endpointId, String zone) {
        return new EndpointEntry(endpointId, zone, 0, EndpointState.READY, 1, 0);
    }

    private static List<BalancerAction> sendRequest(
            BalancerHarness harness, String requestId, String requestClass, String... zones) {
        return harness.handle(new RequestArrived(
                requestId, requestClass, harness.now + 2 * SECOND, null, 0, false, null, null, List.of(zones)));
    }

    @Test
    void requestGoesToItsAllowedZonesOnly() {
        BalancerHarness harness = harnessWithTwoZones();
        Set<String> chosen = new TreeSet<>();
        for (int i = 0; i < 60; i++) {
            harness.now += MS;
            String endpointId = chosenEndpoint(sendRequest(harness, "r" + i, "read", "west"));
            chosen.add(endpointId);
            harness.endAttempt("r" + i, 0, endpointId, AttemptOutcome.OK, MS);
        }
        assertEquals(Set.of("w1", "w2"), chosen);
    }

    @Test
    void zonesAreRequestedOnceAllEndpointsWereAttempted() {
        BalancerHarness harness = harnessWithTwoZones();
        String first = chosenEndpoint(sendRequest(harness, "r", "write", "west"));
        List<BalancerAction> retryActions = harness.endAttempt("r", 0, first, AttemptOutcome.CONNECT_FAILED, MS);
        assertEquals(first.equals("w1") ? "w2" : "w1", chosenEndpoint(retryActions));
        List<BalancerAction> actions =
                harness.endAttempt("r", 1, chosenEndpoint(retryActions), AttemptOutcome.CONNECT_FAILED, MS);
        assertNull(chosenEndpoint(actions), "the third attempt is sent without a backoff");
        actions = harness.fireTimer(actions);
        assertEquals(new RequestZones("r"), single(actions, RequestZones.class).orElseThrow());
        String east = chosenEndpoint(harness.handle(new ZonesAssigned("r", List.of("east"))));
        assertTrue(east.startsWith("e"), east);
        // A second assignment while an attempt is in flight has no effect.
        assertEquals(
                List.of(),
                harness.handle(new ZonesAssigned("r", List.of("west"))).stream()
                        .filter(a -> a instanceof SendAttempt)
                        .toList());
    }

    /** Without other zones, endpoints are attempted again. Zones that are never assigned are requested again. */
    @Test
    void zoneRequestIsRepeatedUntilZonesAreAssigned() {
        BalancerHarness harness = harnessWithTwoZones();
        String first = chosenEndpoint(sendRequest(harness, "r", "read", "west"));
        String second = chosenEndpoint(harness.endAttempt("r", 0, first, AttemptOutcome.FULL, MS));
        List<BalancerAction> actions = harness.endAttempt("r", 1, second, AttemptOutcome.FULL, MS);
        for (int i = 0; i < 3 && single(actions, RequestZones.class).isEmpty(); i++) {
            actions = harness.fireTimer(actions);
        }
        assertTrue(single(actions, RequestZones.class).isPresent(), "not requested after the backoff: " + actions);
        List<BalancerAction> later = harness.fireTimer(actions);
        assertTrue(single(later, RequestZones.class).isPresent(), "not requested again: " + later);
        assertTrue(chosenEndpoint(harness.handle(new ZonesAssigned("r", List.of("west"))))
                .startsWith("w"));
    }

    @Test
    void emptyZonesRejectUnexecutedAndFailPossiblyExecutedRequests() {
        BalancerHarness harness = harnessWithTwoZones();
        assertTrue(single(sendRequest(harness, "none", "write"), RejectRequest.class)
                .isPresent());
        harness.handle(
                new EndpointsChanged(EndpointUpdateKind.FULL, List.of(entry("w1", "west"), entry("e1", "east"))));
        String first = chosenEndpoint(sendRequest(harness, "not-run", "write", "west"));
        assertTrue(
                single(harness.endAttempt("not-run", 0, first, AttemptOutcome.CONNECT_FAILED, MS), RequestZones.class)
                        .isPresent());
        assertTrue(single(harness.handle(new ZonesAssigned("not-run", List.of())), RejectRequest.class)
                .isPresent());
        first = chosenEndpoint(sendRequest(harness, "ran", "write", "west"));
        List<BalancerAction> ended = harness.endAttempt("ran", 0, first, AttemptOutcome.RESET, MS);
        assertTrue(
                single(ended, RequestZones.class).isEmpty()
                        && single(ended, FailRequest.class).isPresent(),
                "a non-idempotent request that may have been executed must fail: " + ended);
        assertEquals(List.of(), harness.handle(new ZonesAssigned("ran", List.of("east"))));
    }

    /**
     * Repeats of the request are discarded only by endpoints of the zone where it may have been executed, so it must
     * not request other zones.
     */
    @Test
    void requestWithIdempotencyKeyStaysInItsZoneOnceExecuted() {
        BalancerHarness harness = harnessWithTwoZones();
        harness.handle(
                new EndpointsChanged(EndpointUpdateKind.FULL, List.of(entry("w1", "west"), entry("e1", "east"))));
        String first = chosenEndpoint(sendRequest(harness, "r", "put", "west"));
        List<BalancerAction> actions = harness.endAttempt("r", 0, first, AttemptOutcome.RESET, MS);
        for (int i = 0;
                i < 20
                        && !actions.isEmpty()
                        && single(actions, FailRequest.class).isEmpty();
                i++) {
            assertTrue(single(actions, RequestZones.class).isEmpty(), actions.toString());
            assertTrue(
                    chosenEndpoint(actions) == null || chosenEndpoint(actions).equals("w1"), actions.toString());
            actions = chosenEndpoint(actions) != null
                    ? harness.endAttempt("r", i + 1, "w1", AttemptOutcome.RESET, MS)
                    : harness.fireTimer(actions);
        }
    }

    /** Over many workloads, no attempt may be sent to a zone that its request is not allowed to use. */
    @Test
    void noAttemptLeavesTheAllowedZones() {
        int[] zoneRequests = {0};
        assertEquals(
                List.of(),
                LongStream.range(0, 300)
                        .mapToObj(seed -> firstViolation(seed, zoneRequests))
                        .filter(java.util.Objects::nonNull)
                        .toList());
        assertTrue(zoneRequests[0] > 100, "only " + zoneRequests[0] + " zone requests");
    }

    private static String firstViolation(long seed, int[] zoneRequests) {
        Workload workload = new Workload(seed, true);
        RatioBalancer balancer = new RatioBalancer(workload.settings, seed);
        Map<String, List<String>> allowedZones = new HashMap<>();
        Map<String, String> zoneOf = new HashMap<>();
        List<String> violations = new ArrayList<>();
        workload.play(balancer::handle, 1200, (event, actions) -> {
            if (event instanceof RequestArrived a) {
                allowedZones.putIfAbsent(a.requestId(), a.allowedZones());
            } else if (event instanceof EndpointsChanged m) {
                m.entries().forEach(e -> zoneOf.put(e.endpointId(), e.zone()));
            }
            // Assignments while an attempt is in flight are ignored, so an attempt may also go to the previous zones.
            for (BalancerAction action : actions) {
                zoneRequests[0] += action instanceof RequestZones ? 1 : 0;
                if (action instanceof SendAttempt send) {
                    List<String> zones =
                            event instanceof ZonesAssigned z && z.requestId().equals(send.requestId())
                                    ? z.zones()
                                    : allowedZones.get(send.requestId());
                    if (zones != null && !zones.contains(zoneOf.get(send.endpointId()))) {
                        violations.add("seed " + seed + ": " + send + " outside zones " + zones + " on " + event);
                    }
                    if (event instanceof ZonesAssigned) {
                        allowedZones.put(send.requestId(), zones);
                    }
                }
            }
            if (event instanceof ZonesAssigned z
                    && allowedZones.get(z.requestId()) != null
                    && actions.stream().noneMatch(a -> a instanceof SendAttempt)) {
                // It is not visible here whether the assignment was applied or ignored, so both are accepted.
                List<String> either = new ArrayList<>(allowedZones.get(z.requestId()));
                either.addAll(z.zones());
                allowedZones.put(z.requestId(), either);
            }
        });
        return violations.isEmpty() ? null : violations.get(0);
    }
}
