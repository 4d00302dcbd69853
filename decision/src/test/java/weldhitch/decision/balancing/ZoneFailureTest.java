package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.chosenEndpoint;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;

/** Tests that an unresponsive zone is avoided. */
class ZoneFailureTest {
    /** Each endpoint of an unreachable zone fails only once, so that their own failure counts would not suffice. */
    @Test
    void unresponsiveZoneIsAvoided() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings();
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            entries.add(new EndpointEntry("e" + i, "east", 1, EndpointState.READY, 1, 0));
            entries.add(new EndpointEntry("w" + i, "west", 2, EndpointState.READY, 1, 0));
        }
        harness.handle(new EndpointsChanged(EndpointUpdateKind.FULL, entries));
        int attemptsToFailedZone = 0;
        for (int i = 0; i < 400; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("r" + i, "read"));
            int attempt = 0;
            while (endpointId != null && endpointId.startsWith("w")) {
                attemptsToFailedZone++;
                endpointId = chosenEndpoint(
                        harness.endAttempt("r" + i, attempt++, endpointId, AttemptOutcome.CONNECT_FAILED, 100 * MS));
            }
            if (endpointId != null) {
                harness.endAttempt("r" + i, attempt, endpointId, AttemptOutcome.OK, 50 * MS);
            }
        }
        assertTrue(attemptsToFailedZone < 25, attemptsToFailedZone + " attempts were sent to the unresponsive zone");
    }
}
