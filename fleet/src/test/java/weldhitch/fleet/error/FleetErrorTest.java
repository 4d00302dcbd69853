package weldhitch.fleet.error;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests the names of the kinds, which are data: other processes' responses, logs and state files contain them. */
class FleetErrorTest {
    private static final Map<String, FleetError> ERRORS_BY_KIND = List.<FleetError>of(
                    new FleetError.MissingVotes(1, List.of("n1", "n2")),
                    new FleetError.InDoubt(1, "n1"),
                    new FleetError.NotJoined("n1"),
                    new FleetError.NoQuorum("s1", 1, 3),
                    new FleetError.CoordinatorUnreachable("n1", List.of("127.0.0.1:1")),
                    new FleetError.StateLogDamaged("f"),
                    new FleetError.StateWriteFailed("f", "full"),
                    new FleetError.ClockErrorTooLarge("n1", 70, 50),
                    new FleetError.MessageRejected("127.0.0.1:1", "no"),
                    new FleetError.InvalidBundle("f", 3, "no"),
                    new FleetError.StaleFleetView("n1", 3000),
                    new FleetError.NoPermittedZone("n1", "all"),
                    new FleetError.InvalidSetting("f", 3, "key", "found", "expected"))
            .stream()
            .collect(Collectors.toMap(error -> error.describe().kind(), Function.identity()));

    @Test
    void eachKindHasItsRecordedName() {
        assertEquals(
                Set.of(
                        "member-absent",
                        "in-doubt",
                        "not-joined",
                        "no-majority",
                        "steward-unreachable",
                        "log-suspect",
                        "disk-refused",
                        "clock-error-too-large",
                        "message-refused",
                        "bundle-unusable",
                        "stale-view",
                        "rule-impossible",
                        "setting-unusable"),
                ERRORS_BY_KIND.keySet());
        assertTrue(ERRORS_BY_KIND.get("member-absent") instanceof FleetError.MissingVotes);
        assertTrue(ERRORS_BY_KIND.get("message-refused") instanceof FleetError.MessageRejected);
        assertTrue(ERRORS_BY_KIND.get("disk-refused") instanceof FleetError.StateWriteFailed);
    }

    @Test
    void everyKindIsCovered() {
        Set<Class<?>> kinds =
                Arrays.stream(FleetError.class.getPermittedSubclasses()).collect(Collectors.toSet());
        assertEquals(
                kinds, ERRORS_BY_KIND.values().stream().map(Object::getClass).collect(Collectors.toSet()));
    }

    @Test
    void messageContainsKindLocationProblemAndRemedy() {
        assertEquals(
                "disk-refused: f: cannot read or write the state on disk: full; nothing was acknowledged or changed;"
                        + " free space on the disk, or repair it",
                ERRORS_BY_KIND.get("disk-refused").message());
    }
}
