package weldhitch.node;

import java.nio.file.Path;
import java.util.function.Consumer;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.fleet.locality.LocalityRules;
import weldhitch.fleet.member.FleetSettings;
import weldhitch.routeconfig.BoundedFileReader;
import weldhitch.routeconfig.CaptureSettings;
import weldhitch.routeconfig.ConfigProblem;
import weldhitch.routeconfig.RouteConfig;

/**
 * Loads the route configuration at the start and on each reload; a file with errors is never applied. Owned by
 * {@link Node}; not synchronized.
 */
final class RouteConfigLoader {
    private final Path file;
    private final BalancerSettings platformSettings;
    private CaptureSettings capture;
    private FleetSettings fleet;

    RouteConfigLoader(Path file, BalancerSettings platformSettings) {
        this.file = file;
        this.platformSettings = platformSettings;
    }

    /** Returns the fleet settings that the file had at the start; null if the node is not part of a fleet. */
    FleetSettings fleet() {
        return fleet;
    }

    /** The rules of a valid file. Immutable. */
    record LoadedRules(RouteTable routes, LocalityRules locality) {
        static LoadedRules of(RouteConfig file) {
            return new LoadedRules(file.routeTable(), file.locality());
        }
    }

    /**
     * Parses a route version of the fleet with the same checks as the node's own file. Returns null if it has errors,
     * which are passed to {@code errors}.
     */
    LoadedRules parseVersion(String name, byte[] bundle, Consumer<String> errors) {
        RouteConfig parsed = RouteConfig.parse(name, bundle, platformSettings);
        parsed.errors().forEach(problem -> errors.accept(problem.toString()));
        if (parsed.isUsable() && (parsed.fleet() != null || parsed.capture() != null)) {
            errors.accept(name + ":1: error: a route version must not contain [fleet] or [capture]; remove them");
        }
        return parsed.isUsable() ? LoadedRules.of(parsed) : null;
    }

    /** Returns the capture settings of the last valid file; null if it has none. */
    CaptureSettings capture() {
        return capture;
    }

    /**
     * Reads the file at the start.
     *
     * @throws InvalidConfigException if the file has errors, all of which are logged
     */
    LoadedRules load() throws InvalidConfigException {
        RouteConfig parsed = RouteConfig.read(file, platformSettings);
        parsed.problems().forEach(problem -> Log.line(problem.toString()));
        if (!parsed.isUsable()) {
            throw new InvalidConfigException(summary(parsed));
        }
        capture = parsed.capture();
        fleet = parsed.fleet();
        return LoadedRules.of(parsed);
    }

    /** Reads the file again; returns null if it has errors, in which case the previous rules stay active. */
    LoadedRules reload() {
        RouteConfig parsed = RouteConfig.read(file, platformSettings, BoundedFileReader.MAX_DURATION_OF_RELOAD);
        if (!parsed.isUsable()) {
            Log.line("route config rejected, keeping last valid: " + summary(parsed));
            return null;
        }
        capture = parsed.capture();
        if (!java.util.Objects.equals(fleet, parsed.fleet())) {
            Log.line("route config section ignored until restart section=fleet");
        }
        parsed.problems().forEach(problem -> Log.line(problem.toString()));
        Log.line("route config active file=" + file + " routes="
                + parsed.routeTable().routes().size()
                + (parsed.locality() == null
                        ? ""
                        : " locality_rules=" + parsed.locality().rules().size()));
        return LoadedRules.of(parsed);
    }

    private static String summary(RouteConfig parsed) {
        ConfigProblem firstError = parsed.errors().get(0);
        return firstError + (parsed.errorCount() > 1 ? " (and " + (parsed.errorCount() - 1) + " more)" : "");
    }
}
