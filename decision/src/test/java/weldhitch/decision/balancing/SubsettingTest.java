package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.chosenEndpoint;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.WeightKind;

/** Tests the subsets of endpoints on the hash ring that nodes use. */
class SubsettingTest {
    private static BalancerSettings settings(int nodeIndex, int nodeCount) {
        BalancerSettings defaults = BalancerHarness.settings(
                BalancerHarness.requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        return new BalancerSettings(
                "east",
                List.of("east", "west"),
                1,
                nodeIndex,
                nodeCount,
                defaults.classes(),
                List.of(),
                1,
                false,
                false,
                WeightKind.NONE,
                List.of(),
                0,
                2 * MS,
                defaults.limits(),
                defaults.rules());
    }

    private static BalancerHarness harness(int nodeIndex, int nodeCount, int endpointCount) {
        BalancerHarness harness = new BalancerHarness(settings(nodeIndex, nodeCount), nodeIndex);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            entries.add(harness.entry("s" + i, EndpointState.READY, 0));
        }
        harness.handle(new EndpointsChanged(EndpointUpdateKind.FULL, entries));
        return harness;
    }

    private static Set<String> contactedEndpoints(BalancerHarness harness) {
        Set<String> contacted = new HashSet<>();
        for (int i = 0; i < 1500; i++) {
            contacted.add(harness.serveRequest("r" + i, 50 * MS));
        }
        return contacted;
    }

    @Test
    void subsetsAreSmallAndTogetherCoverAllEndpoints() {
        Set<String> all = new HashSet<>();
        for (int nodeIndex = 0; nodeIndex < 50; nodeIndex++) {
            Set<String> contacted = contactedEndpoints(harness(nodeIndex, 50, 100));
            assertTrue(contacted.size() <= 12, contacted.size() + " endpoints contacted by one node");
            all.addAll(contacted);
        }
        assertEquals(100, all.size());
    }

    @Test
    void singleNodeUsesAllEndpoints() {
        assertEquals(100, contactedEndpoints(harness(0, 1, 100)).size());
    }

    /** A node must use other endpoints if all endpoints of its subset have failed. */
    @Test
    void failedEndpointsAreReplacedInTheSubset() {
        BalancerHarness harness = harness(0, 50, 100);
        Set<String> failed = contactedEndpoints(harness);
        int attemptsToFailed = 0;
        for (int i = 0; i < 400; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("d" + i, "read"));
            boolean isFailed = failed.contains(endpointId);
            attemptsToFailed += isFailed && i >= 200 ? 1 : 0;
            harness.endAttempt("d" + i, 0, endpointId, isFailed ? AttemptOutcome.ERROR : AttemptOutcome.OK, 50 * MS);
            harness.handle(new ClientDisconnected("d" + i));
        }
        assertTrue(attemptsToFailed < 50, attemptsToFailed + " of 200 attempts went to failed endpoints");
    }
}
