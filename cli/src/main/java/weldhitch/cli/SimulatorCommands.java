package weldhitch.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import weldhitch.decision.routing.RouteTable;
import weldhitch.routeconfig.RouteConfig;
import weldhitch.simulator.cluster.RunStatistics;
import weldhitch.simulator.cluster.SimCluster;
import weldhitch.simulator.report.CaptureTap;
import weldhitch.simulator.report.RunComparison;
import weldhitch.simulator.report.RunReport;
import weldhitch.simulator.scenario.Scenario;
import weldhitch.simulator.scenario.ScenarioFile;
import weldhitch.simulator.scenario.ScenarioFile.InvalidScenarioException;

/** Runs scenarios in virtual time and compares their results. */
@Command(
        name = "simulator",
        mixinStandardHelpOptions = true,
        description = "Simulates clusters and their faults in virtual time.",
        subcommands = {SimulatorCommands.RunCommand.class, SimulatorCommands.CompareCommand.class})
final class SimulatorCommands {
    private static final int EXIT_INVALID = 1;
    private static final int EXIT_IO_ERROR = 3;

    SimulatorCommands() {}

    /**
     * Runs a scenario for one or several seeds. Exits with status 1 if the scenario or the route configuration has
     * errors, 3 if a file can't be read or written.
     */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a scenario and writes metrics (JSON, CSV) and a page with plots for each seed. Exits with "
                            + "status 1 if the scenario or the route configuration has errors, 3 if a file can't be "
                            + "read or written.")
    static final class RunCommand implements Callable<Integer> {
        private static final Pattern SEED_RANGE = Pattern.compile("(-?\\d{1,18})(?:\\.\\.(-?\\d{1,18}))?");
        private static final int MAX_SEEDS = 10_000;

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "SCENARIO", description = "Scenario file (TOML).")
        private Path scenarioFile;

        @Option(
                names = "--seed",
                defaultValue = "1",
                paramLabel = "N[..M]",
                description = "Seed, or range of seeds from N to M; default: 1.")
        private String seedRange;

        @Option(names = "--nodes", description = "Number of nodes, instead of the scenario's.")
        private int nodes;

        @Option(
                names = "--servers",
                description = "Number of servers, instead of the scenario's; the server kinds keep their proportions.")
        private int servers;

        @Option(
                names = "--length",
                paramLabel = "SECONDS",
                description = "Length in seconds, instead of the scenario's.")
        private int lengthSeconds;

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "Route configuration file (TOML) that is active at every node.")
        private Path routeConfigFile;

        @Option(names = "--out", paramLabel = "DIR", description = "Output directory; without it no file is written.")
        private Path outputDirectory;

        @Option(
                names = "--capture",
                paramLabel = "DIR",
                description = "Directory for a capture of the first node (one seed only).")
        private Path captureDirectory;

        @Override
        public Integer call() {
            PrintWriter output = spec.commandLine().getOut();
            PrintWriter errorOutput = spec.commandLine().getErr();
            try {
                RouteTable routes = null;
                if (routeConfigFile != null) {
                    RouteConfig routeConfig = RouteConfig.read(routeConfigFile, null);
                    routeConfig.problems().forEach(errorOutput::println);
                    errorOutput.flush();
                    if (!routeConfig.isUsable()) {
                        return EXIT_INVALID;
                    }
                    routes = routeConfig.routeTable();
                }
                Scenario scenario = ScenarioFile.read(scenarioFile).withSize(nodes, servers);
                scenario = lengthSeconds > 0 ? scenario.withDuration(lengthSeconds * 1_000_000_000L) : scenario;
                output.printf(
                        "%-8s %9s %9s %9s %9s %9s %9s %8s %8s %10s%n",
                        "seed",
                        "offered",
                        "in time",
                        "late",
                        "refused",
                        "failed",
                        "goodput",
                        "p50, ms",
                        "p99, ms",
                        "played, /s");
                for (long seed : parseSeeds()) {
                    simulate(scenario, seed, routes, output);
                    output.flush();
                }
                return 0;
            } catch (InvalidScenarioException e) {
                e.problems().forEach(errorOutput::println);
                errorOutput.flush();
                return EXIT_INVALID;
            } catch (IOException e) {
                errorOutput.println("weldhitch: " + e);
                errorOutput.flush();
                return EXIT_IO_ERROR;
            }
        }

        private List<Long> parseSeeds() {
            Matcher matcher = SEED_RANGE.matcher(seedRange);
            long first = matcher.matches() ? Long.parseLong(matcher.group(1)) : 0;
            long last = matcher.matches() && matcher.group(2) != null ? Long.parseLong(matcher.group(2)) : first;
            if (!matcher.matches()
                    || last < first
                    || last - first >= MAX_SEEDS
                    || captureDirectory != null && last > first) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--seed: \"" + seedRange + "\", expected a seed, or N..M" + " with N <= M and at most "
                                + MAX_SEEDS + " seeds; one seed only with --capture");
            }
            return LongStream.rangeClosed(first, last).boxed().toList();
        }

        private void simulate(Scenario scenario, long seed, RouteTable routes, PrintWriter output) throws IOException {
            long startedAt = System.nanoTime();
            RunStatistics statistics;
            if (captureDirectory == null) {
                statistics = new SimCluster(scenario, seed, routes, null).run();
            } else {
                CaptureTap captureTap = new CaptureTap(captureDirectory);
                try (captureTap) {
                    statistics = new SimCluster(scenario, seed, routes, captureTap).run();
                }
                output.printf(
                        Locale.ROOT,
                        "captured %d events of the first node in %s%n",
                        captureTap.eventCount(),
                        captureDirectory);
            }
            double seconds = (System.nanoTime() - startedAt) / 1e9;
            RunStatistics.RequestStatistics totals = statistics.total;
            output.printf(
                    Locale.ROOT,
                    "%-8d %9d %9d %9d %9d %9d %9.4f %8.1f %8.1f %10.0f%n",
                    seed,
                    totals.offered,
                    totals.inTime,
                    totals.late,
                    totals.rejected,
                    totals.failed + totals.unreachable,
                    totals.goodput(),
                    totals.latencyMs(50),
                    totals.latencyMs(99),
                    totals.offered / seconds);
            if (outputDirectory != null) {
                new RunReport(scenario.name(), seed, statistics).write(outputDirectory);
            }
        }
    }

    /** Compares two sets of results seed by seed. Exits with status 3 if a file can't be read. */
    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Compares the results of two sets of simulator runs over the same seeds, for example of two "
                    + "builds or with two configurations. Prints the mean change of each metric, paired by seed, with "
                    + "a confidence interval.")
    static final class CompareCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "BEFORE", description = "Directory that simulator run --out wrote.")
        private Path beforeDirectory;

        @Parameters(
                index = "1",
                paramLabel = "AFTER",
                description = "Directory that simulator run --out wrote for the other build or configuration, with the "
                        + "same seeds.")
        private Path afterDirectory;

        @Option(
                names = "--confidence",
                defaultValue = "0.95",
                description = "Confidence level of the interval; default: 0.95.")
        private double confidence;

        @Override
        public Integer call() {
            if (!(confidence > 0 && confidence < 1)) {
                throw new ParameterException(
                        spec.commandLine(), "--confidence: " + confidence + ", expected a value between 0 and 1");
            }
            PrintWriter output = spec.commandLine().getOut();
            try {
                List<String> lines = new ArrayList<>();
                for (RunComparison.MetricChange change :
                        RunComparison.compare(beforeDirectory, afterDirectory, confidence)) {
                    lines.add(String.format(
                            Locale.ROOT,
                            "%-12s %12.4f %12.4f   change from %+.4f to %+.4f over %d seeds: %s",
                            change.metric(),
                            change.change().before(),
                            change.change().after(),
                            change.change().low(),
                            change.change().high(),
                            change.change().seedCount(),
                            change.change().isSignificant() ? "differs" : "no significant difference"));
                }
                lines.forEach(output::println);
                output.flush();
                return 0;
            } catch (IOException e) {
                spec.commandLine().getErr().println("weldhitch: " + e.getMessage());
                spec.commandLine().getErr().flush();
                return EXIT_IO_ERROR;
            }
        }
    }
}
