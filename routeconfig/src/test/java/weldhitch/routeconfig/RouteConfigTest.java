package weldhitch.routeconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable.Route;
import weldhitch.routeconfig.RouteConfig.EffectiveRule;
import weldhitch.routeconfig.RouteConfig.Explanation;

/** Tests reading, validating and explaining route configurations. */
class RouteConfigTest {
    private static final String VALID_FILE = """
        version = 1

        [defaults]
        attempts = 3
        hedge = { after = "80ms" }
        retry-on = ["connect-failed", "full", "timed-out"]

        [class.book]
        deadline = "4s"   # a booking

        [class.read.tenants]
        clinic-a = 10
        "*" = 2.5

        [[route]]
        name = "cancel"
        path = "/book/{id}/cancel"
        method = "POST"
        deadline = "1.5s"
        attempt-timeout = "400ms"
        backoff = { base = "20ms", max = "200ms" }
        retry-after = { min = "100ms", max = "1s" }

        [[route]]
        name = "slow"
        prefix = "/read/archive"
        attempts = 2
        hedge = { percentile = 95 }
        budget = { share = 0.1, floor = 2 }
        expected-per-second = 50

        [[route]]
        name = "posts"
        method = "POST"
        attempts = 1
        hedge = "off"

        # end
        """;
    private final RouteConfig validConfig = parse(VALID_FILE);

    private static RouteConfig parse(String text) {
        return RouteConfig.parse("w.toml", text.getBytes(StandardCharsets.UTF_8), TestPlatforms.platform());
    }

    private RoutePolicy policyFor(String requestClass, String method, String target) {
        Route route = validConfig.routeTable().match(requestClass, method, target);
        return route.policy();
    }

    @Test
    void narrowerSectionsOverrideWiderOnes() {
        assertEquals(List.of(), validConfig.problems());
        assertEquals(
                new RoutePolicy(
                        1_500_000_000L,
                        400_000_000L,
                        3,
                        new Backoff(20_000_000L, 200_000_000L),
                        Set.of(AttemptOutcome.CONNECT_FAILED, AttemptOutcome.FULL),
                        null,
                        null,
                        new RetryAfterBounds(100_000_000L, 1_000_000_000L),
                        Map.of()),
                policyFor("book", "POST", "/book/7/cancel"),
                "a non-idempotent class inherits no hedging and no retries after possible execution");
        RoutePolicy archivePolicy = policyFor("read", "GET", "/read/archive/1999?page=2");
        assertEquals(new HedgeAtPercentile(95), archivePolicy.hedging());
        assertEquals(new RetryBudgetSettings(0.1, 2), archivePolicy.retryBudget());
        assertEquals(Map.of("clinic-a", 10.0, "*", 2.5), archivePolicy.tenantQuotas());
        assertEquals(2, archivePolicy.maxAttempts());
        assertEquals(4_000_000_000L, policyFor("book", "GET", "/book").deadline());
        assertEquals(
                new HedgeAfterDelay(80_000_000L),
                policyFor("feed", "GET", "/feed").hedging());
        assertEquals(1, policyFor("feed", "POST", "/feed/1").maxAttempts());
        assertEquals(
                4_000_000_000L,
                policyFor("book", "POST", "/book").deadline(),
                "a route without a class inherits the settings of the request's class");
    }

    @Test
    void explainsTheMatchingRouteAndTheSourceOfEachRule() {
        Explanation explanation = validConfig.explain("book", "POST", "/book/7/cancel");
        assertEquals("cancel", explanation.route());
        assertEquals(
                new EffectiveRule("deadline", "1.5s", "route cancel, line 19"),
                explanation.rules().get(0));
        assertEquals(
                new EffectiveRule("attempts", "3", "defaults, line 4"),
                explanation.rules().get(2));
        assertEquals(
                new EffectiveRule("retry-on", "full, connect-failed", "defaults, line 6"),
                ruleFor(explanation, "retry-on"));
        assertEquals(new EffectiveRule("hedge", "-", "platform"), ruleFor(explanation, "hedge"));
        assertEquals(
                new EffectiveRule("deadline", "4s", "class book, line 9"),
                ruleFor(validConfig.explain("book", "GET", "/book/7"), "deadline"));
        assertEquals("defaults", validConfig.explain("feed", "GET", "/feed").route());
        assertEquals(
                new EffectiveRule("deadline", "8s", "platform"),
                ruleFor(validConfig.explain("feed", "GET", "/feed"), "deadline"));
        assertEquals(
                new EffectiveRule("attempts", "4", "platform"),
                ruleFor(parse("version = 1\n# end\n").explain("feed", "GET", "/feed"), "attempts"));
        assertNull(parse("version = 1\n# end\n").explain("feed", "GET", "/feed").route());
    }

    private static EffectiveRule ruleFor(Explanation explanation, String key) {
        return explanation.rules().stream()
                .filter(r -> r.key().equals(key))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void percentileNeedingMoreTrafficThanExpectedIsAWarning() {
        RouteConfig config = parse(VALID_FILE.replace("expected-per-second = 50", "expected-per-second = 3"));
        assertTrue(config.isUsable());
        assertEquals(1, config.problems().size());
        ConfigProblem warning = config.problems().get(0);
        assertTrue(
                warning.warning() && warning.key().equals("route[1].hedge") && warning.line() == 28,
                warning.toString());
    }

    @Test
    void settingsForbiddenByThePlatformAreRejected() {
        byte[] text = VALID_FILE.getBytes(StandardCharsets.UTF_8);
        RouteConfig withoutHedging =
                RouteConfig.parse("w.toml", text, TestPlatforms.platform(Map.of("limits.secondCopies", "false")));
        assertEquals(
                List.of("defaults.hedge", "route[1].hedge"),
                withoutHedging.errors().stream().map(ConfigProblem::key).toList());
        RouteConfig withoutRetryAfter =
                RouteConfig.parse("w.toml", text, TestPlatforms.platform(Map.of("limits.retryAfter", "false")));
        assertEquals(
                List.of("route[0].retry-after"),
                withoutRetryAfter.errors().stream().map(ConfigProblem::key).toList());
    }

    @Test
    void withoutAPlatformOnlyIndependentChecksRun() {
        String text = VALID_FILE.replace("attempts = 3", "attempts = 9").replace("attempt-timeout = \"400ms\"\n", "\n");
        assertTrue(RouteConfig.parse("w.toml", text.getBytes(StandardCharsets.UTF_8), null)
                .isUsable());
        assertFalse(parse(text).isUsable());
    }

    /**
     * An editor that truncates a file and rewrites it in place exposes every prefix of it to a concurrent reader.
     */
    @Test
    void everyTruncatedFileIsRejected() {
        String complete = VALID_FILE.stripTrailing();
        for (int length = 0; length < complete.length(); length++) {
            assertFalse(parse(complete.substring(0, length)).isUsable(), "the first " + length + " characters");
        }
        assertTrue(parse(complete).isUsable());
    }

    @Test
    void unreadableFileReportsTheCause(@TempDir Path directory) throws Exception {
        ConfigProblem missingFile = RouteConfig.read(directory.resolve("none.toml"), null)
                .problems()
                .get(0);
        assertTrue(missingFile.description().contains("NoSuchFile"), missingFile.toString());
        Path file = directory.resolve("bytes.toml");
        Files.write(file, new byte[] {'#', (byte) 0xFF, '\n'});
        assertEquals(
                "is not UTF-8", RouteConfig.read(file, null).problems().get(0).description());
        Files.write(file, new byte[(1 << 20) + 1]);
        assertTrue(RouteConfig.read(file, null).problems().get(0).description().startsWith("has 1048577 bytes"));
    }

    @Test
    void exampleIsValidAndLinesAreFoundInEveryTomlForm() throws Exception {
        assertEquals(
                List.of(),
                RouteConfig.read(Path.of("deploy/weldhitch.toml"), null).problems());
        String mixedForms =
                "version = 1\nclass.read.attempts = 99_9\n\"class\".\"book\" = { deadline = \"x\", retry-on = [ # all\n"
                        + "\"full\",\n'none',\n] }\n# end\n";
        assertEquals(
                List.of("class.read.attempts 2", "class.book.deadline 3", "class.book.retry-on[1] 5"),
                parse(mixedForms).errors().stream()
                        .map(p -> p.key() + " " + p.line())
                        .toList());
    }
}
