package weldhitch.coordinator.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import weldhitch.fleet.activation.ActivationOutcome;
import weldhitch.fleet.activation.RouteVersion;
import weldhitch.fleet.error.FleetError;

/** Tests the JSON names of responses and their order. */
class CoordinatorStatusTest {
    private static String json(Object body) throws Exception {
        return CoordinatorJson.JSON.writeValueAsString(body);
    }

    @Test
    void followerWritesNullsButNoZones() throws Exception {
        RouteVersion active = new RouteVersion(2, "abc");
        CoordinatorStatus status =
                new CoordinatorStatus("s1", null, false, 7, active, null, null, List.of("m1", "m2"), List.of(), null);
        assertEquals(
                "{\"steward\":\"s1\",\"leader\":null,\"leads\":false,\"generation\":7,\"inForce\":" + json(active)
                        + ",\"pending\":null,\"outcome\":null,\"roster\":[\"m1\",\"m2\"],\"leased\":[]}",
                json(status));
    }

    @Test
    void leaderWritesZonesEvenIfThereAreNone() throws Exception {
        RouteVersion active = new RouteVersion(2, "abc");
        RouteVersion pending = new RouteVersion(3, "def");
        ActivationOutcome outcome = new ActivationOutcome(3, true, "s1/i/1", 99, List.of());
        CoordinatorStatus status = new CoordinatorStatus(
                "s1", "s1", true, 7, active, pending, outcome, List.of("m1"), List.of("m1"), Map.of());
        assertEquals(
                "{\"steward\":\"s1\",\"leader\":\"s1\",\"leads\":true,\"generation\":7,\"inForce\":" + json(active)
                        + ",\"pending\":" + json(pending) + ",\"outcome\":" + json(outcome)
                        + ",\"roster\":[\"m1\"],\"leased\":[\"m1\"],\"zones\":{}}",
                json(status));
    }

    @Test
    void errorBodyNamesKindLocationProblemAndRemedy() throws Exception {
        FleetError error = new FleetError.MessageRejected("/127.0.0.1:9", "malformed HTTP request");
        FleetError.Description description = error.describe();
        assertEquals(
                Map.of(
                        "type", description.kind(),
                        "where", description.location(),
                        "what", description.problem(),
                        "remedy", description.remedy()),
                CoordinatorJson.JSON.readValue(json(ErrorBody.of(error)), Map.class));
    }
}
