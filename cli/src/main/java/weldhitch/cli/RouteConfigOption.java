package weldhitch.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.node.Node;
import weldhitch.routeconfig.RouteConfig;

/**
 * Parameters shared by commands that read a route configuration: the file, and optionally the node configuration
 * whose platform settings it is checked against.
 */
final class RouteConfigOption {
    @Parameters(paramLabel = "FILE", description = "Route configuration file (TOML).")
    private Path file;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "Node configuration file (the one that GW_CONFIG names). FILE is checked against its "
                    + "classes, limits and tenants; without this option they are not checked.")
    private Path nodeConfigFile;

    @Option(names = "--json", description = "Prints JSON.")
    private boolean json;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    RouteConfig load() {
        BalancerSettings platformSettings = null;
        if (nodeConfigFile != null) {
            try {
                platformSettings = Node.platformSettings(nodeConfigFile);
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), "--config: " + e.getMessage(), e);
            }
        }
        return RouteConfig.read(file, platformSettings);
    }

    boolean json() {
        return json;
    }

    String fileName() {
        return file.toString();
    }

    boolean hasPlatform() {
        return nodeConfigFile != null;
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
