package weldhitch.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import weldhitch.capture.format.CaptureFormatException;
import weldhitch.replay.CaptureSlicer;
import weldhitch.replay.CaptureSummary;
import weldhitch.replay.CaptureSummary.RequestCounts;
import weldhitch.replay.CaptureVerifier;
import weldhitch.replay.Replayer;
import weldhitch.replay.policy.InvariantChecker.Violation;

/** Commands on a capture that don't compare it with a replay: verify, cut and summary. */
@Command(
        name = "capture",
        mixinStandardHelpOptions = true,
        description = "Summarises a capture, checks it against the invariants, or cuts a slice from it.",
        subcommands = {
            CaptureCommands.SummaryCommand.class,
            CaptureCommands.VerifyCommand.class,
            CaptureCommands.CutCommand.class
        })
final class CaptureCommands {
    private static final int MAX_SHOWN_VIOLATIONS = 50;

    private CaptureCommands() {}

    /**
     * Checks a capture against the four invariants of {@code InvariantChecker}. Exits with status 1 if one is violated,
     * 3 if the capture can't be read.
     */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Checks a capture against the four invariants. Exits with status 0 if all hold, 1 if one is "
                    + "violated, 3 if the capture can't be read.")
    static final class VerifyCommand implements Callable<Integer> {
        @Mixin
        private CaptureOption capture;

        @Override
        public Integer call() throws Exception {
            CaptureVerifier verification = new CaptureVerifier();
            return capture.read(verification, () -> {
                List<Violation> violations = verification.checker.violations();
                PrintWriter out = capture.out();
                if (capture.json()) {
                    out.println(toJson(verification, violations).toPrettyString());
                } else {
                    violations.stream()
                            .limit(MAX_SHOWN_VIOLATIONS)
                            .forEach(violation -> out.printf(
                                    Locale.ROOT,
                                    "%s at %d.%09d: %s: %s%n",
                                    violation.invariant().label(),
                                    violation.timestamp() / 1_000_000_000L,
                                    violation.timestamp() % 1_000_000_000L,
                                    violation.subject(),
                                    violation.description()));
                    out.printf(
                            "%d requests answered, %d open at the end, %d damaged parts: %s%n",
                            verification.checker.answered(),
                            verification.checker.openRequests(),
                            verification.corruptions(),
                            violations.isEmpty() ? "all invariants hold" : violations.size() + " violations");
                }
                return violations.isEmpty() ? 0 : 1;
            });
        }

        private static ObjectNode toJson(CaptureVerifier verification, List<Violation> violations) {
            ObjectNode root = JsonNodeFactory.instance
                    .objectNode()
                    .put("answered", verification.checker.answered())
                    .put("open", verification.checker.openRequests())
                    .put("damages", verification.corruptions());
            ArrayNode violationNodes = root.putArray("breaches");
            violations.forEach(violation -> violationNodes
                    .addObject()
                    .put("rule", violation.invariant().label().replace(' ', '_'))
                    .put("at", violation.timestamp())
                    .put("subject", violation.subject())
                    .put("what", violation.description()));
            return root;
        }
    }

    /** Cuts a slice of a capture and replaces names. Exits with status 1 if that fails, 3 if it can't be read. */
    @Command(
            name = "cut",
            mixinStandardHelpOptions = true,
            description = "Cuts a small slice from a capture, with the state at its start. Requests, servers, "
                    + "tenants and paths are "
                    + "renamed, and the slice replays like the original. Exits with status 1 if it can't be cut, "
                    + "3 if the capture can't be read.")
    static final class CutCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(
                arity = "1..*",
                paramLabel = "PATH",
                description = "Segments of a capture in order, or the directory that contains them.")
        private List<Path> paths;

        @Option(
                names = "--from",
                paramLabel = "EVENT",
                required = true,
                description = "First event of the slice, counted from 1.")
        private long firstEvent;

        @Option(names = "--count", defaultValue = "2000", description = "Number of events; default: 2000.")
        private long count;

        @Option(
                names = "--out",
                paramLabel = "FILE",
                required = true,
                description = "File to write; must not exist yet.")
        private Path outputFile;

        @Override
        public Integer call() {
            if (firstEvent < 1 || count < 1) {
                throw new ParameterException(spec.commandLine(), "--from, --count: expected 1 or more");
            }
            try {
                CaptureSlicer slicer = new CaptureSlicer(firstEvent, count).read(paths);
                slicer.write(outputFile);
                spec.commandLine().getOut().println(slicer.eventCount() + " events written to " + outputFile);
                spec.commandLine().getOut().flush();
                return 0;
            } catch (IOException | IllegalStateException e) {
                spec.commandLine().getErr().println("weldhitch: " + e.getMessage());
                spec.commandLine().getErr().flush();
                return e instanceof CaptureFormatException ? CaptureOption.EXIT_UNREADABLE : 1;
            }
        }
    }

    /**
     * Counts the requests and attempts of a capture. Exits with status 1 if it has no events, 3 if it can't be read.
     */
    @Command(
            name = "summary",
            mixinStandardHelpOptions = true,
            description = "Summarises a capture: request outcomes by class and over time, causes of rejections and "
                    + "failures, attempts by server.")
    static final class SummaryCommand implements Callable<Integer> {
        @Mixin
        private CaptureOption capture;

        @Option(
                names = "--every",
                paramLabel = "SECONDS",
                defaultValue = "60",
                description = "Length of an interval in seconds; default: 60.")
        private long intervalSeconds;

        @Override
        public Integer call() throws Exception {
            CaptureSummary summary = new CaptureSummary(TimeUnit.SECONDS.toNanos(Math.max(1, intervalSeconds)));
            Replayer replayer = new Replayer(summary, false, summary);
            return capture.read(replayer, () -> {
                if (capture.json()) {
                    capture.out().println(toJson(replayer, summary).toPrettyString());
                } else {
                    printText(replayer, summary);
                }
                return replayer.replayedEvents() > 0 ? 0 : 1;
            });
        }

        private void printText(Replayer replayer, CaptureSummary summary) {
            PrintWriter out = capture.out();
            out.printf(
                    Locale.ROOT,
                    "%d events in %.1f s, from %s%n",
                    replayer.replayedEvents(),
                    replayer.duration() / 1e9,
                    replayer.replayedEvents() == 0
                            ? "-"
                            : java.time.Instant.ofEpochSecond(0, replayer.firstTimestamp()));
            summary.corruptions.forEach(out::println);
            String headerFormat = "%-18s %9s %9s %9s %9s %9s %9s %9s%n";
            out.printf(headerFormat, "class", "arrived", "in time", "late", "refused", "failed", "gone", "attempts");
            summary.byClass.forEach((name, counts) -> printCounts(out, name, counts));
            out.printf(headerFormat, "from, s", "arrived", "in time", "late", "refused", "failed", "gone", "attempts");
            summary.byInterval.forEach((fromMillis, counts) -> {
                printCounts(out, Long.toString(fromMillis / 1000), counts);
                counts.causes.forEach((cause, count) -> out.printf("%-18s %9d %s%n", "", count, cause));
            });
            out.printf("%-18s %9s %9s %9s %s%n", "server", "sends", "p50, ms", "p99, ms", "outcomes");
            summary.byEndpoint.forEach((name, server) -> out.printf(
                    Locale.ROOT,
                    "%-18s %9d %9.1f %9.1f %s%n",
                    name,
                    server.sends,
                    server.latencyMillis(50),
                    server.latencyMillis(99),
                    server.outcomes));
        }

        private static void printCounts(PrintWriter out, String name, RequestCounts counts) {
            out.printf(
                    "%-18s %9d %9d %9d %9d %9d %9d %9d%n",
                    name,
                    counts.arrived,
                    counts.onTime,
                    counts.late,
                    counts.rejected,
                    counts.failed,
                    counts.disconnected,
                    counts.attempts);
        }

        private static ObjectNode toJson(Replayer replayer, CaptureSummary summary) {
            ObjectNode root = JsonNodeFactory.instance
                    .objectNode()
                    .put("events", replayer.replayedEvents())
                    .put("spanSeconds", replayer.duration() / 1e9);
            summary.corruptions.forEach(root.withArray("damages")::add);
            ObjectNode classes = root.putObject("classes");
            summary.byClass.forEach((name, counts) -> putCounts(classes.putObject(name), counts));
            ArrayNode spans = root.putArray("spans");
            summary.byInterval.forEach(
                    (fromMillis, counts) -> putCounts(spans.addObject().put("fromMs", fromMillis), counts));
            ObjectNode servers = root.putObject("servers");
            summary.byEndpoint.forEach((name, server) -> servers.putObject(name)
                    .put("sends", server.sends)
                    .put("p50Ms", server.latencyMillis(50))
                    .put("p99Ms", server.latencyMillis(99))
                    .set("outcomes", countsToJson(server.outcomes)));
            return root;
        }

        private static void putCounts(ObjectNode target, RequestCounts counts) {
            target.put("arrived", counts.arrived)
                    .put("served", counts.onTime)
                    .put("late", counts.late)
                    .put("refused", counts.rejected)
                    .put("failed", counts.failed)
                    .put("gone", counts.disconnected)
                    .put("attempts", counts.attempts)
                    .set("causes", countsToJson(counts.causes));
        }

        private static ObjectNode countsToJson(Map<String, Long> counts) {
            ObjectNode node = JsonNodeFactory.instance.objectNode();
            counts.forEach(node::put);
            return node;
        }
    }
}
