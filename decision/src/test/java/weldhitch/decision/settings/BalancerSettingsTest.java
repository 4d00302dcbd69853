package weldhitch.decision.settings;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import weldhitch.decision.balancing.BalancerHarness;

/** Tests that a setting out of range is rejected with an error that names it. */
class BalancerSettingsTest {
    private static void assertNamesSetting(String setting, Executable construction) {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, construction);
        assertTrue(e.getMessage().contains(setting), e.getMessage());
    }

    @Test
    void outOfRangeSettingIsNamed() {
        BalancerSettings valid = BalancerHarness.settings(
                BalancerHarness.requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        assertNamesSetting("limits.maxAttempts", () -> new PlatformLimits(0, true, true, true, true, 0, 0));
        assertNamesSetting("limits.connectTimeout", () -> new PlatformLimits(1, true, true, true, true, 0, -1));
        assertNamesSetting("rules.startCapacity", () -> new PlatformRules(1.5, 0, 1, 0, 0, 0, 0));
        assertNamesSetting(
                "classes.aim",
                () -> new RequestClass("x", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, -1, 0, 0, 1, 0, false));
        assertNamesSetting(
                "zone",
                () -> new BalancerSettings(
                        "",
                        List.of("a", "b"),
                        0,
                        0,
                        1,
                        valid.classes(),
                        List.of(),
                        1,
                        false,
                        false,
                        WeightKind.NONE,
                        List.of(),
                        0,
                        0,
                        valid.limits(),
                        valid.rules()));
        assertNamesSetting(
                "siblings",
                () -> new BalancerSettings(
                        "a",
                        List.of("a", "b"),
                        0,
                        0,
                        0,
                        valid.classes(),
                        List.of(),
                        1,
                        false,
                        false,
                        WeightKind.NONE,
                        List.of(),
                        0,
                        0,
                        valid.limits(),
                        valid.rules()));
    }
}
