package weldhitch.routeconfig;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.routing.RouteTable.Route;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.fleet.locality.LocalityRules;
import weldhitch.fleet.member.FleetSettings;
import weldhitch.routeconfig.RuleSection.Setting;

/**
 * A route configuration read from a file, with the problems found and, if there are no errors, the compiled routes. The
 * schema is described in docs/route-configuration.md. Immutable.
 */
public final class RouteConfig {
    /** The last line of every file, by which a truncated file is detected. */
    public static final String END_MARKER = "# end";

    private final List<ConfigProblem> problems;
    private final int errorCount;
    private final RouteTable routeTable;
    private final Map<String, Map<RuleKey, Setting>> settingsByRoute;

    private final BalancerSettings platform;
    private final CaptureSettings capture;
    private final FleetSettings fleet;
    private final LocalityRules locality;

    /**
     * Creates a configuration.
     *
     * @param problems the listed problems in the order in which they are shown
     * @param errorCount the number of errors, listed or not
     * @param routeTable the routes; null if there are errors
     * @param settingsByRoute the settings in effect for each route, by the route's name
     * @param platform the platform's settings, or null if they are not known
     */
    RouteConfig(
            List<ConfigProblem> problems,
            int errorCount,
            RouteTable routeTable,
            Map<String, Map<RuleKey, Setting>> settingsByRoute,
            BalancerSettings platform,
            CaptureSettings capture,
            FleetSettings fleet,
            LocalityRules locality) {
        this.fleet = fleet;
        this.locality = locality;
        this.platform = platform;
        this.capture = capture;
        this.problems = List.copyOf(problems);
        this.errorCount = errorCount;
        this.routeTable = routeTable;
        this.settingsByRoute = settingsByRoute;
    }

    /** Returns the configuration of a file whose sections cannot be read because of these problems. It is unusable. */
    static RouteConfig invalid(List<ConfigProblem> problems, BalancerSettings platform) {
        return new RouteConfig(problems, problems.size(), null, Map.of(), platform, null, null, null);
    }

    /**
     * One setting that is in effect for a request. Immutable.
     *
     * @param key the setting's key in the file
     * @param value the setting's value, formatted for people
     * @param source the section that contains the setting, with the line of the setting; or {@code platform}
     */
    public record EffectiveRule(String key, String value, String source) {}

    /**
     * The settings in effect for a request. Immutable.
     *
     * @param route the matching route; null if there is none
     * @param rules the settings in effect
     */
    public record Explanation(String route, List<EffectiveRule> rules) {}

    /**
     * Reads and validates a file. Blocks until the file is read.
     *
     * @param platform the platform's settings; if null, checks that depend on them are skipped
     */
    public static RouteConfig read(Path file, BalancerSettings platform) {
        return read(file, platform, BoundedFileReader.MAX_DURATION_AT_START);
    }

    /**
     * Reads and validates a file. Blocks until the file is read, at most for {@code maxDuration}.
     *
     * @param platform the platform's settings; if null, checks that depend on them are skipped
     */
    public static RouteConfig read(Path file, BalancerSettings platform, Duration maxDuration) {
        return RouteConfigParser.read(file, platform, maxDuration);
    }

    /**
     * Validates a file's text.
     *
     * @param file the file name that problems state
     * @param bytes the text in UTF-8
     * @param platform the platform's settings; if null, checks that depend on them are skipped
     */
    public static RouteConfig parse(String file, byte[] bytes, BalancerSettings platform) {
        return new RouteConfigParser(file, platform).parse(bytes);
    }

    /**
     * Returns the errors and warnings, ordered by line; empty if there are none. Of very many, the first ones are
     * listed, and the last entry tells how many are not.
     */
    public List<ConfigProblem> problems() {
        return problems;
    }

    /** Returns the problems that prevent the file from being used. */
    public List<ConfigProblem> errors() {
        return problems.stream().filter(problem -> !problem.warning()).toList();
    }

    /** Returns the number of errors, including those that are not listed. */
    public int errorCount() {
        return errorCount;
    }

    /** Returns whether the file has no errors and can be activated. */
    public boolean isUsable() {
        return routeTable != null;
    }

    /**
     * Returns the routes that the file compiles to.
     *
     * @throws IllegalStateException if the file is not {@link #isUsable}
     */
    public RouteTable routeTable() {
        if (routeTable == null) {
            throw new IllegalStateException("a route configuration with errors has no routes");
        }
        return routeTable;
    }

    /** Returns the settings in effect for each route, by the route's name. */
    Map<String, Map<RuleKey, Setting>> settingsByRoute() {
        return settingsByRoute;
    }

    /** Returns the capture settings; null if the file has none or is not {@link #isUsable}. */
    public CaptureSettings capture() {
        return capture;
    }

    /** Returns the settings of the section {@code [fleet]}; null if the file has none or is not {@link #isUsable}. */
    public FleetSettings fleet() {
        return fleet;
    }

    /** Returns the locality rules; null if the file has none or is not {@link #isUsable}. */
    public LocalityRules locality() {
        return locality;
    }

    /**
     * Returns the route that matches a request and the settings in effect for it. The file must be {@link #isUsable}.
     */
    public Explanation explain(String requestClass, String method, String target) {
        Route route = routeTable().match(requestClass, method, target);
        Map<RuleKey, Setting> settings = route == null ? Map.of() : settingsByRoute.get(route.name());
        return new RouteExplainer(platform).explain(route, settings, requestClass);
    }
}
