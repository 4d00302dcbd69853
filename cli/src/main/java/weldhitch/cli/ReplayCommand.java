package weldhitch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.DocumentCodec;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.ZonesAssigned;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.replay.Replayer;
import weldhitch.replay.Replayer.Divergence;
import weldhitch.routeconfig.RouteConfig;
import weldhitch.simulator.whatif.WhatIfAnalysis;

/**
 * Replays a capture with this build's balancer and compares each decision with the captured one, or evaluates an
 * alternative. A comparison exits with status 0 if all decisions are the same, 1 otherwise.
 */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Replays a capture with this build and reports decisions that differ. Exits with status 0 "
                + "if all are the same, 1 if not, 3 if the capture can't be read.")
final class ReplayCommand implements Callable<Integer> {
    private static final int MAX_SHOWN_DIFFERENCES = 10;
    private static final int MAX_SEEDS = 1000;

    @Spec
    private CommandSpec spec;

    @Mixin
    private CaptureOption capture;

    @Option(names = "--until", paramLabel = "EVENT", description = "Last event to replay, counted from 1.")
    private long lastEvent = Long.MAX_VALUE;

    @Option(
            names = "--request",
            paramLabel = "ID",
            description = "Prints each event of this request with the captured decisions and those of this build.")
    private String requestId;

    @Option(names = "--from", paramLabel = "SNAPSHOT", description = "Snapshot to start at, counted from 1.")
    private long firstSnapshot = 1;

    @ArgGroup
    private Alternative alternative;

    @Option(
            names = "--seeds",
            defaultValue = "5",
            description = "With --what-if or --model: number of seeds to simulate with, 2 to 1000; default: 5.")
    private int seeds;

    @Option(
            names = "--from-each",
            description = "Restores the state from every snapshot, instead of comparing the state with it.")
    private boolean restoreEachSnapshot;

    @Option(names = "--state", description = "Prints the complete balancer state after the last replayed event.")
    private boolean printState;

    /** The options that replace the captured route configuration or build by an alternative. */
    static final class Alternative {
        @Option(
                names = "--what-if",
                paramLabel = "FILE",
                description = "Replays the capture with another route configuration file and prints the decisions "
                        + "that differ. Then simulates the captured requests with both route configurations, on "
                        + "servers modelled after the capture, and prints the results side by side. Exits with "
                        + "status 1 if the file has errors.")
        private Path routeConfigFile;

        @Option(
                names = "--model",
                description = "Like --what-if, but with the captured routes: prints which decisions of this build "
                        + "differ from the captured ones, and its simulated results, for comparison with the output "
                        + "of another build.")
        private boolean modelOnly;
    }

    @Override
    public Integer call() throws Exception {
        if (firstSnapshot < 1) {
            throw new ParameterException(spec.commandLine(), "--from: " + firstSnapshot + ", expected 1 or more");
        }
        if (alternative != null) {
            return runAlternative();
        }
        long startedAt = System.nanoTime();
        Replayer replayer = new Replayer(null, restoreEachSnapshot, new RequestPrinter())
                .startingAtSnapshot(firstSnapshot)
                .endingAt(lastEvent, Long.MAX_VALUE);
        return capture.read(replayer, () -> {
            double seconds = (System.nanoTime() - startedAt) / 1e9;
            Divergence firstDifference = replayer.divergences().isEmpty()
                    ? null
                    : replayer.divergences().get(0);
            BalancerSnapshot snapshotBefore = firstDifference == null ? null : snapshotBefore(firstDifference);
            if (capture.json()) {
                capture.out()
                        .println(toJson(replayer, firstDifference, snapshotBefore)
                                .toPrettyString());
            } else {
                printText(replayer, firstDifference, snapshotBefore, seconds);
            }
            return replayer.divergences().isEmpty() && replayer.replayedEvents() > 0 ? 0 : 1;
        });
    }

    /**
     * Evaluates the alternative. Reads the first snapshot in advance, because the route configuration is checked
     * against the platform settings of the capture.
     */
    private int runAlternative() throws Exception {
        if (seeds < 2 || seeds > MAX_SEEDS) {
            throw new ParameterException(spec.commandLine(), "--seeds: " + seeds + ", expected 2 to " + MAX_SEEDS);
        }
        BalancerSettings[] platformSettings = {null};
        RouteTable routes = null;
        if (alternative.routeConfigFile != null) {
            Integer status = capture.read(
                    entry -> {
                        if (platformSettings[0] == null
                                && entry instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
                            platformSettings[0] = snapshotRecord.settings();
                        }
                    },
                    () -> 0);
            if (status != 0) {
                return status;
            }
            RouteConfig routeConfig = RouteConfig.read(alternative.routeConfigFile, platformSettings[0]);
            routeConfig
                    .problems()
                    .forEach(problem -> spec.commandLine().getErr().println(problem));
            spec.commandLine().getErr().flush();
            if (!routeConfig.isUsable()) {
                return 1;
            }
            routes = routeConfig.routeTable();
        }
        WhatIfAnalysis analysis = new WhatIfAnalysis(alternative.routeConfigFile != null, routes);
        EventWindow window = new EventWindow(analysis, firstSnapshot, lastEvent);
        return capture.read(window, () -> {
            if (analysis.restores() == 0) {
                capture.out().println("nothing to replay: the capture contains no snapshot");
                return 1;
            }
            WhatIfReport report = new WhatIfReport(
                    analysis,
                    analysis.simulate(seeds, 0.95),
                    alternative.routeConfigFile == null
                            ? "this build"
                            : String.valueOf(alternative.routeConfigFile.getFileName()));
            if (capture.json()) {
                capture.out().println(report.toJson().toPrettyString());
            } else {
                report.printText(capture.out());
            }
            return 0;
        });
    }

    /**
     * Passes on the entries from one snapshot up to one event, both counted from 1. Not thread-safe.
     *
     * @param counts the number of snapshots and the number of events so far, in this order
     */
    private record EventWindow(Consumer<CaptureEntry> target, long firstSnapshot, long lastEvent, long[] counts)
            implements Consumer<CaptureEntry> {
        EventWindow(Consumer<CaptureEntry> target, long firstSnapshot, long lastEvent) {
            this(target, firstSnapshot, lastEvent, new long[2]);
        }

        @Override
        public void accept(CaptureEntry entry) {
            counts[0] += entry instanceof CaptureEntry.SnapshotRecord ? 1 : 0;
            counts[1] += entry instanceof CaptureEntry.EventRecord ? 1 : 0;
            if (counts[0] >= firstSnapshot && counts[1] <= lastEvent) {
                target.accept(entry);
            }
        }
    }

    /** Prints the events and actions of one request during the replay. */
    private final class RequestPrinter implements Replayer.Listener {
        @Override
        public void afterReplay(
                long eventNumber, CaptureEntry.EventRecord record, List<BalancerAction> replayedActions) {
            if (requestId == null
                    || !(concerns(record.event())
                            || record.actions().stream().anyMatch(this::concerns)
                            || replayedActions.stream().anyMatch(this::concerns))) {
                return;
            }
            capture.out().println("event " + eventNumber + " at " + record.timestamp() + ": " + record.event());
            capture.out().println("  captured: " + record.actions());
            capture.out()
                    .println(
                            "  here:     " + (replayedActions.equals(record.actions()) ? "the same" : replayedActions));
        }

        private boolean concerns(BalancerEvent event) {
            return event instanceof RequestArrived arrived
                    ? arrived.requestId().equals(requestId)
                    : event instanceof AttemptEnded ended
                            ? ended.requestId().equals(requestId)
                            : event instanceof ResponseStarted started
                                    ? started.requestId().equals(requestId)
                                    : event instanceof ClientDisconnected disconnected
                                            ? disconnected.requestId().equals(requestId)
                                            : event instanceof ZonesAssigned zones
                                                    && zones.requestId().equals(requestId);
        }

        private boolean concerns(BalancerAction action) {
            return action instanceof SendAttempt sent
                    ? sent.requestId().equals(requestId)
                    : action instanceof RejectRequest rejected
                            ? rejected.requestId().equals(requestId)
                            : action instanceof FailRequest failed
                                    ? failed.requestId().equals(requestId)
                                    : action instanceof CancelAttempt cancelled
                                            ? cancelled.requestId().equals(requestId)
                                            : action instanceof RequestZones zones
                                                    && zones.requestId().equals(requestId);
        }
    }

    /** Returns this build's state just before the first difference; null if the capture can't be read again. */
    private BalancerSnapshot snapshotBefore(Divergence firstDifference) throws Exception {
        Replayer snapshotReplayer = new Replayer(null, restoreEachSnapshot)
                .startingAtSnapshot(firstSnapshot)
                .endingAt(firstDifference.eventNumber() - 1, Long.MAX_VALUE);
        BalancerSnapshot[] snapshot = {null};
        Integer status = capture.read(snapshotReplayer, () -> {
            snapshot[0] = snapshotReplayer.snapshot();
            return 0;
        });
        return status == 0 ? snapshot[0] : null;
    }

    private void printText(
            Replayer replayer, Divergence firstDifference, BalancerSnapshot snapshotBefore, double seconds) {
        PrintWriter out = capture.out();
        out.printf(
                Locale.ROOT,
                "%d events replayed, %d decisions, %d snapshots, %.1f s of the node's time in %.1f s%n",
                replayer.replayedEvents(),
                replayer.actionCount(),
                replayer.snapshotCount(),
                replayer.duration() / 1e9,
                seconds);
        if (replayer.skippedEvents() + replayer.droppedEvents() + replayer.corruptions() > 0) {
            out.printf(
                    "%d events dropped by the node, %d damaged parts, %d events skipped without a preceding snapshot%n",
                    replayer.droppedEvents(), replayer.corruptions(), replayer.skippedEvents());
        }
        if (firstDifference == null) {
            out.println(
                    replayer.replayedEvents() == 0
                            ? "nothing to replay: the capture contains no snapshot"
                            : "all decisions are the same as captured");
        } else {
            for (Divergence difference :
                    replayer.divergences().stream().limit(MAX_SHOWN_DIFFERENCES).toList()) {
                out.printf(Locale.ROOT, "event %d: %s%n", difference.eventNumber(), difference.description());
                if (difference.captured() != null) {
                    out.println("  told:     " + difference.captured().event());
                    out.println("  captured: " + difference.captured().actions());
                    out.println("  here:     " + difference.replayedActions());
                }
            }
            if (replayer.divergences().size() > MAX_SHOWN_DIFFERENCES) {
                out.println("and " + (replayer.divergences().size() - MAX_SHOWN_DIFFERENCES)
                        + " more; after each difference the replay restarts at the next snapshot");
            }
            if (snapshotBefore != null) {
                out.println("state before event " + firstDifference.eventNumber() + ":");
                affectedParts(firstDifference, snapshotBefore).forEach(part -> out.println("  " + part));
            }
        }
        if (printState && replayer.snapshot() != null) {
            out.println(DocumentCodec.toTree(replayer.snapshot()).toPrettyString());
        }
    }

    /** Returns the state of the requests and servers of the captured and the replayed attempts. */
    private static List<JsonNode> affectedParts(Divergence firstDifference, BalancerSnapshot snapshot) {
        List<BalancerAction> actions = new java.util.ArrayList<>(firstDifference.replayedActions());
        if (firstDifference.captured() != null) {
            actions.addAll(firstDifference.captured().actions());
        }
        List<String> ids = actions.stream()
                .filter(SendAttempt.class::isInstance)
                .map(SendAttempt.class::cast)
                .flatMap(s -> java.util.stream.Stream.of(s.requestId(), s.endpointId()))
                .distinct()
                .toList();
        List<JsonNode> parts = new java.util.ArrayList<>();
        JsonNode tree = DocumentCodec.toTree(snapshot);
        for (String section : List.of("requests", "servers")) {
            tree.path(section).forEach(part -> {
                if (ids.contains(part.path("id").asText())) {
                    parts.add(part);
                }
            });
        }
        return parts;
    }

    private ObjectNode toJson(Replayer replayer, Divergence firstDifference, BalancerSnapshot snapshotBefore) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("same", replayer.divergences().isEmpty() && replayer.replayedEvents() > 0)
                .put("events", replayer.replayedEvents())
                .put("decisions", replayer.actionCount())
                .put("snapshots", replayer.snapshotCount())
                .put("skipped", replayer.skippedEvents())
                .put("missed", replayer.droppedEvents())
                .put("damages", replayer.corruptions())
                .put("spanSeconds", replayer.duration() / 1e9);
        ArrayNode differences = root.putArray("differences");
        for (Divergence difference : replayer.divergences()) {
            ObjectNode node = differences
                    .addObject()
                    .put("event", difference.eventNumber())
                    .put("what", difference.description());
            if (difference.captured() != null) {
                node.put("told", difference.captured().event().toString())
                        .put("captured", difference.captured().actions().toString())
                        .put("here", difference.replayedActions().toString());
            }
        }
        if (firstDifference != null && snapshotBefore != null) {
            root.putArray("knownBefore").addAll(affectedParts(firstDifference, snapshotBefore));
        }
        if (printState && replayer.snapshot() != null) {
            root.set("state", DocumentCodec.toTree(replayer.snapshot()));
        }
        return root;
    }
}
