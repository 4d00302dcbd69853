package weldhitch.routeconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.fleet.locality.LocalityRule;
import weldhitch.fleet.locality.LocalityRule.HysteresisBand;
import weldhitch.fleet.locality.LocalityRules;

/**
 * Tests which rules are read from {@code [zones]} and {@code [[locality]]}, and that each error states its line and
 * key.
 */
class LocalityConfigTest {
    private static final BalancerSettings PLATFORM =
            TestPlatforms.platform(Map.of("areas", "kigali,huye,rusizi,musanze", "az", "kigali"));
    private static final String VALID_FILE = """
        version = 1
        [zones]
        rate = 40.0
        [zones.regions]
        centre = ["kigali", "huye"]
        west = ["rusizi"]
        [[locality]]
        name = "records"
        class = "book"
        prefer = ["own-zone", "own-region", "any"]
        never = ["west"]
        panic = false
        [[locality]]
        name = "all"
        prefer = ["own-zone", "own-region", "west", "any"]
        use = { begin = 0.9, end = 0.6 }
        dwell = "2s"
        most = 0.5
        alone = 0.01
        [[route]]
        name = "cancel"
        path = "/book/cancel"
        # end
        """;

    private static RouteConfig parse(String text) {
        return RouteConfig.parse("x.toml", text.getBytes(StandardCharsets.UTF_8), PLATFORM);
    }

    @Test
    void validFileYieldsItsRules() {
        RouteConfig config = parse(VALID_FILE);
        assertEquals(List.of(), config.errors());
        LocalityRules rules = config.locality();
        assertEquals(40, rules.capacityPerWeight());
        assertEquals("records", rules.ruleFor("book", null, null).name());
        LocalityRule ruleForAll = rules.ruleFor("read", "clinic-a", null);
        assertEquals(new HysteresisBand(0.9, 0.6), ruleForAll.spillPolicy().utilization());
        assertEquals(2_000_000_000L, ruleForAll.spillPolicy().dwell());
        assertTrue(ruleForAll.panic());
        assertFalse(rules.ruleFor("book", null, null).panic());
        assertEquals(
                List.of(Set.of("kigali"), Set.of("huye"), Set.of("rusizi"), Set.of("musanze")),
                rules.regions().priorityLevels(ruleForAll, "kigali", Set.copyOf(PLATFORM.zones())));
        assertNull(parse("version = 1\n# end\n").locality());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "rate = 40.0 | rate = 0 | 3 | zones.rate | not a number",
                "rate = 40.0 | | 2 | zones | rate is missing",
                "rate = 40.0 | rate = 40.0\\nrates = 1 | 4 | zones.rates | not a known key",
                "centre = [\"kigali\", \"huye\"] | centre = [\"kigali\", \"huyé\"] | 5 | "
                        + "zones.regions.centre | is not a valid name",
                "centre = [\"kigali\", \"huye\"] | centre = [\"kigali\", \"butare\"] | 5 | "
                        + "zones.regions.centre | has no zone \"butare\"",
                "west = [\"rusizi\"] | west = [\"rusizi\", \"huye\"] | 6 | zones.regions.west | "
                        + "zone huye is in region centre too",
                "west = [\"rusizi\"] | any = [\"rusizi\"] | 6 | zones.regions.any | "
                        + "is the name of a built-in preference too",
                "name = \"records\" | name = \"all\" | 14 | locality[1].name | name of another rule",
                "name = \"records\" | | 7 | locality[0] | has no name",
                "class = \"book\" | class = \"books\" | 9 | locality[0].class | has no class \"books\"",
                "class = \"book\" | tenant = \"clinic-z\" | 9 | locality[0].tenant | has no tenant",
                "class = \"book\" | route = \"cancle\" | 9 | locality[0].route | no route \"cancle\"",
                "class = \"book\" | | 13 | locality[1] | never applies: rule \"records\" above it",
                "prefer = [\"own-zone\", \"own-region\", \"any\"] | | 7 | locality[0] | prefer is missing",
                "prefer = [\"own-zone\", \"own-region\", \"any\"] | prefer = [\"own-zone\", \"north\"] | 10 | "
                        + "locality[0].prefer | no built-in preference or region \"north\"",
                "prefer = [\"own-zone\", \"own-region\", \"any\"] | prefer = [\"any\", \"own-zone\"] | 10 | "
                        + "locality[0].prefer | comes after \"any\"",
                "prefer = [\"own-zone\", \"own-region\", \"any\"] | prefer = [\"own-zone\", \"own-zone\"] | "
                        + "10 | locality[0].prefer | is listed twice",
                "never = [\"west\"] | never = [\"wset\"] | 11 | locality[0].never | no region or zone \"wset\"",
                "never = [\"west\"] | never = [\"musanze\", \"centre\", \"rusizi\"] | 11 | "
                        + "locality[0].never | leaves requests that arrive in zone",
                "panic = false | panic = \"no\" | 12 | locality[0].panic | neither true nor false",
                "end = 0.6 } | end = 0.9 } | 16 | locality[1].use.end | is not below begin",
                "use = { begin = 0.9, end = 0.6 } | healthy = { begin = 0.9, end = 0.6 } | 16 | "
                        + "locality[1].healthy.end | is not above begin",
                "use = { begin = 0.9, end = 0.6 } | late = { begin = 0.9 } | 16 | locality[1].late | end is missing",
                "dwell = \"2s\" | dwell = 2 | 17 | locality[1].dwell | has no unit",
                "most = 0.5 | most = 0 | 18 | locality[1].most | no request would ever spill over",
                "alone = 0.01 | alone = 0.6 | 19 | locality[1].alone | is more than most",
                "alone = 0.01 | growth = -1 | 19 | locality[1].growth | not a number"
            })
    void eachErrorStatesItsLineAndKey(String original, String replacement, int line, String key, String description) {
        RouteConfig config =
                parse(VALID_FILE.replace(original, replacement == null ? "" : replacement.replace("\\n", "\n")));
        assertFalse(config.isUsable());
        assertNull(config.locality());
        ConfigProblem problem = config.errors().stream()
                .filter(p -> p.key().equals(key) && p.description().contains(description))
                .findFirst()
                .orElseThrow(() -> new AssertionError(config.errors().toString()));
        assertEquals(line, problem.line(), problem.toString());
        assertFalse(problem.remedy().isEmpty());
    }

    @Test
    void rulesNeedZonesAndZonesAloneYieldNoRules() {
        RouteConfig rulesWithoutZones = parse("version = 1\n[[locality]]\nname = \"x\"\nprefer = [\"any\"]\n# end\n");
        assertEquals("[zones] is missing", rulesWithoutZones.errors().get(0).description());
        assertNull(parse("version = 1\n[zones]\nrate = 1\n# end\n").locality());
        assertEquals(List.of(), parse("version = 1\n[zones]\nrate = 1\n# end\n").errors());
    }
}
