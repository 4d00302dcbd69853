package weldhitch.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.capture.format.DocumentCodec;
import weldhitch.capture.policy.DroppedEvents;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.Workload;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.TimerFired;
import weldhitch.testkit.TestSupport;

/** Tests that replays are deterministic, and that gaps, corruption and divergences in a capture are handled. */
class ReplayerTest {
    @TempDir
    Path directory;

    private static Replayer replay(List<CaptureEntry> entries, boolean restoreAtEachSnapshot) {
        Replayer replayer = new Replayer(null, restoreAtEachSnapshot);
        entries.forEach(replayer);
        return replayer;
    }

    private static Replayer replayFiles(Path... files) throws IOException {
        Replayer replayer = new Replayer(null, false);
        CaptureFiles.read(List.of(files), replayer);
        return replayer;
    }

    @Test
    void repeatedReplaysOfOneFileAreDeterministic() throws IOException {
        Path file = WorkloadCapture.write(directory, WorkloadCapture.entries(5, 20_000, 3000));
        Set<String> states = new TreeSet<>();
        for (int i = 0; i < 10; i++) {
            Replayer replayer = replayFiles(file);
            assertEquals(List.of(), replayer.divergences());
            assertEquals(20_000, replayer.replayedEvents());
            assertEquals(7, replayer.snapshotCount());
            assertEquals(1, replayer.restores());
            states.add(DocumentCodec.toTree(replayer.snapshot()).toString());
        }
        assertEquals(1, states.size());
    }

    @Property(tries = 40, seed = "20261201")
    void restoringAtEachSnapshotMatchesContinuousReplay(
            @ForAll @IntRange(max = 1_000_000) int seed, @ForAll @IntRange(min = 20, max = 400) int snapshotInterval) {
        List<CaptureEntry> entries = WorkloadCapture.entries(seed, 1500, snapshotInterval);
        Replayer continuous = replay(entries, false);
        assertEquals(List.of(), continuous.divergences());
        assertEquals(1, continuous.restores());
        Replayer restored = replay(entries, true);
        assertEquals(List.of(), restored.divergences());
        assertEquals(restored.snapshotCount(), restored.restores());
        assertEquals(DocumentCodec.toTree(continuous.snapshot()), DocumentCodec.toTree(restored.snapshot()));
    }

    /** A timer and an arrival with the same timestamp are replayed in the captured order, whichever comes first. */
    @Test
    void simultaneousTimerAndArrivalReplayInCapturedOrder() throws IOException {
        Set<String> outcomes = new TreeSet<>();
        for (boolean timerFirst : new boolean[] {true, false}) {
            Workload workload = LongStream.iterate(1, s -> s + 1)
                    .mapToObj(Workload::new)
                    .filter(w -> w.settings.tier() == 0
                            && w.settings.classes().get(0).latencyObjective() > 0)
                    .findFirst()
                    .orElseThrow();
            RatioBalancer balancer = new RatioBalancer(workload.settings, 5);
            List<CaptureEntry> entries = new ArrayList<>();
            entries.add(new CaptureEntry.SnapshotRecord(
                    workload.now(), "n1", "run", "test", workload.settings, balancer.snapshot(), null));
            List<CaptureEntry.EventRecord> eventRecords = new ArrayList<>();
            BiFunction<Long, BalancerEvent, List<BalancerAction>> handler = (now, event) -> {
                List<BalancerAction> actions = balancer.handle(now, event);
                eventRecords.add(new CaptureEntry.EventRecord(now, event, actions));
                return actions;
            };
            long now = workload.now();
            String className = workload.settings.classes().get(0).name();
            handler.apply(
                    now,
                    new EndpointsChanged(
                            EndpointUpdateKind.FULL,
                            List.of(new EndpointEntry("a", workload.settings.zone(), 0, EndpointState.READY, 1, 0))));
            // These are more requests than the admission limit allows, so some are queued and a timer is scheduled.
            long timerAt = Long.MAX_VALUE;
            for (int i = 0; i < 200; i++) {
                for (BalancerAction action : handler.apply(
                        now, new RequestArrived("r" + i, className, now + 1_000_000_000L, null, 0, false))) {
                    timerAt = action instanceof ScheduleTimer timer ? Math.min(timerAt, now + timer.delay()) : timerAt;
                }
            }
            assertTrue(timerAt < Long.MAX_VALUE, "no timer was scheduled");
            RequestArrived lateArrival =
                    new RequestArrived("late", className, timerAt + 1_000_000_000L, null, 0, false);
            List<BalancerEvent> simultaneousEvents = timerFirst
                    ? List.of(new TimerFired("due"), lateArrival)
                    : List.of(lateArrival, new TimerFired("due"));
            for (BalancerEvent simultaneousEvent : simultaneousEvents) {
                handler.apply(timerAt, simultaneousEvent);
            }
            entries.addAll(eventRecords);
            outcomes.add(eventRecords.subList(eventRecords.size() - 2, eventRecords.size()).stream()
                    .map(CaptureEntry.EventRecord::actions)
                    .toList()
                    .toString());
            Path file = WorkloadCapture.write(
                    Files.createDirectory(directory.resolve(String.valueOf(timerFirst))), entries);
            Replayer replayer = replayFiles(file);
            assertEquals(List.of(), replayer.divergences());
            assertEquals(eventRecords.size(), replayer.replayedEvents());
            assertEquals(DocumentCodec.toTree(balancer.snapshot()), DocumentCodec.toTree(replayer.snapshot()));
        }
        assertEquals(2, outcomes.size(), "both orders have the same actions, so the test proves nothing: " + outcomes);
    }

    @Test
    void divergingDecisionIsReportedAtItsEventWithBothSides() {
        List<CaptureEntry> entries = WorkloadCapture.entries(5, 2000, 1000);
        int sends = 0;
        for (int i = 0; i < entries.size() && sends < 100; i++) {
            if (entries.get(i) instanceof CaptureEntry.EventRecord eventRecord
                    && !eventRecord.actions().isEmpty()
                    && eventRecord.actions().get(0) instanceof SendAttempt send
                    && ++sends == 100) {
                List<BalancerAction> changedActions = new ArrayList<>(eventRecord.actions());
                changedActions.set(0, new SendAttempt(send.requestId(), "elsewhere", send.timeout()));
                entries.set(
                        i, new CaptureEntry.EventRecord(eventRecord.timestamp(), eventRecord.event(), changedActions));
                Replayer replayer = replay(entries, false);
                assertEquals(1, replayer.divergences().size());
                Replayer.Divergence divergence = replayer.divergences().get(0);
                assertEquals(changedActions, divergence.captured().actions());
                assertEquals(eventRecord.actions(), divergence.replayedActions());
                assertEquals(
                        eventRecord,
                        new CaptureEntry.EventRecord(
                                divergence.captured().timestamp(),
                                divergence.captured().event(),
                                divergence.replayedActions()));
                // Replay resumes at the next snapshot.
                assertEquals(2, replayer.restores());
                Replayer partialReplayer =
                        new Replayer(null, false).endingAt(divergence.eventNumber() - 1, Long.MAX_VALUE);
                entries.forEach(partialReplayer);
                assertEquals(divergence.eventNumber() - 1, partialReplayer.replayedEvents());
                assertNotNull(partialReplayer.snapshot());
                return;
            }
        }
        throw new AssertionError("the workload has fewer than 100 attempts to change");
    }

    @Test
    void divergingStateIsReportedAtTheSnapshot() {
        List<CaptureEntry> entries = WorkloadCapture.entries(5, 2000, 1000);
        List<CaptureEntry> others = WorkloadCapture.entries(6, 2000, 1000);
        for (int i = 1; i < entries.size(); i++) {
            if (entries.get(i) instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
                CaptureEntry.SnapshotRecord otherSnapshot = (CaptureEntry.SnapshotRecord) others.get(0);
                entries.set(
                        i,
                        new CaptureEntry.SnapshotRecord(
                                snapshotRecord.timestamp(),
                                snapshotRecord.node(),
                                snapshotRecord.runId(),
                                snapshotRecord.build(),
                                snapshotRecord.settings(),
                                otherSnapshot.snapshot(),
                                null));
            }
        }
        Replayer replayer = replay(entries, false);
        assertTrue(
                replayer.divergences().get(0).description().startsWith("the state differs from the snapshot: /"),
                replayer.divergences().get(0).description());
    }

    @Test
    void droppedEventsRestartReplayWithoutDivergence() {
        List<CaptureEntry> entries = WorkloadCapture.entries(5, 3000, 500);
        List<CaptureEntry> entriesWithGap = new ArrayList<>();
        int snapshots = 0;
        for (CaptureEntry entry : entries) {
            snapshots += entry instanceof CaptureEntry.SnapshotRecord ? 1 : 0;
            if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord && snapshots == 4) {
                entriesWithGap.add(snapshotRecord.withDropped(new DroppedEvents(1, 2, 500)));
            } else if (snapshots != 3 || entry instanceof CaptureEntry.SnapshotRecord) {
                entriesWithGap.add(entry);
            }
        }
        Replayer replayer = replay(entriesWithGap, false);
        assertEquals(List.of(), replayer.divergences());
        assertEquals(500, replayer.droppedEvents());
        assertEquals(2500, replayer.replayedEvents());
        assertEquals(2, replayer.restores());
        // The same gap is a divergence if the capture does not report it.
        List<CaptureEntry> entriesWithHiddenGap = entriesWithGap.stream()
                .map(e -> e instanceof CaptureEntry.SnapshotRecord snapshotRecord
                        ? new CaptureEntry.SnapshotRecord(
                                snapshotRecord.timestamp(),
                                snapshotRecord.node(),
                                snapshotRecord.runId(),
                                snapshotRecord.build(),
                                snapshotRecord.settings(),
                                snapshotRecord.snapshot(),
                                null)
                        : e)
                .toList();
        assertFalse(replay(entriesWithHiddenGap, false).divergences().isEmpty());
    }

    @Test
    void corruptBlockSkipsEventsUpToNextSnapshot() throws IOException {
        Path file = WorkloadCapture.write(directory, WorkloadCapture.entries(5, 6000, 1000));
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 4;
        Files.write(file, bytes);
        Replayer replayer = replayFiles(file);
        assertEquals(List.of(), replayer.divergences());
        assertEquals(1, replayer.corruptions());
        assertEquals(2, replayer.restores());
        assertEquals(5000, replayer.replayedEvents());
    }

    @Test
    void eachRunInOneDirectoryRestartsReplay() throws IOException {
        List<CaptureEntry> entries = new ArrayList<>(WorkloadCapture.entries(5, 500, 500));
        WorkloadCapture.entries(6, 500, 500)
                .forEach(e -> entries.add(
                        e instanceof CaptureEntry.SnapshotRecord snapshotRecord
                                ? new CaptureEntry.SnapshotRecord(
                                        snapshotRecord.timestamp(),
                                        snapshotRecord.node(),
                                        "later",
                                        snapshotRecord.build(),
                                        snapshotRecord.settings(),
                                        snapshotRecord.snapshot(),
                                        null)
                                : e));
        Replayer replayer = replayFiles(WorkloadCapture.write(directory, entries));
        assertEquals(List.of(), replayer.divergences());
        assertEquals(2, replayer.restores());
    }

    /** Decisions do not depend on the heap size, garbage collector or compiler of the JVM. */
    @Test
    void otherJvmOptionsReplayIdentically() throws Exception {
        Path file = WorkloadCapture.write(directory, WorkloadCapture.entries(7, 8000, 2000));
        for (List<String> options : List.of(
                List.of("-Xmx48m", "-XX:+UseSerialGC"),
                List.of("-Xmx600m", "-XX:+UseG1GC"),
                List.of("-XX:+UseParallelGC", "-XX:TieredStopAtLevel=1"),
                List.of("-Xint"))) {
            List<String> command = new ArrayList<>(
                    List.of(ProcessHandle.current().info().command().orElse("java")));
            command.addAll(options);
            command.addAll(List.of(
                    "-cp", System.getProperty("java.class.path"), ReplayProcess.class.getName(), file.toString()));
            Process process =
                    new ProcessBuilder(command).redirectErrorStream(true).start();
            String output = new String(process.getInputStream().readAllBytes());
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
            assertEquals(
                    "8000 events, 0 differences",
                    output.lines().reduce((a, b) -> b).orElse(""),
                    output);
        }
    }

    /**
     * Kills ten processes while they write a capture. The events on the disk, up to the last one, must replay without
     * divergence.
     */
    @Test
    void captureOfKilledProcessReplaysToItsLastEvent() throws Exception {
        for (int i = 0; i < 10; i++) {
            Path captureDirectory = directory.resolve("killed-" + i);
            Process process = new ProcessBuilder(
                            ProcessHandle.current().info().command().orElse("java"),
                            "-cp",
                            System.getProperty("java.class.path"),
                            EndlessCaptureProcess.class.getName(),
                            captureDirectory.toString(),
                            Integer.toString(i))
                    .redirectErrorStream(true)
                    .start();
            try {
                // The process is killed once some blocks are on the disk, while it writes the next one.
                long minBytes = 150_000L + 40_000L * i;
                TestSupport.await(() -> captureBytes(captureDirectory) > minBytes || !process.isAlive());
                assertTrue(process.isAlive(), "the process ended before it was killed");
            } finally {
                process.destroyForcibly();
            }
            process.waitFor();
            Replayer replayer = replayFiles(captureDirectory);
            assertEquals(List.of(), replayer.divergences());
            assertEquals(0, replayer.skippedEvents());
            assertTrue(replayer.replayedEvents() > 1000, replayer.replayedEvents() + " events");
            assertTrue(replayer.corruptions() <= 1, replayer.corruptions() + " damaged parts");
        }
    }

    private static long captureBytes(Path directory) {
        try {
            return Files.exists(directory)
                    ? CaptureFiles.segmentsIn(directory).stream()
                            .mapToLong(s -> s.path().toFile().length())
                            .sum()
                    : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    @Test
    void explainerListsPicksAndOutcomeOfRequest() {
        List<CaptureEntry> entries = WorkloadCapture.entries(5, 4000, 1000);
        CaptureEntry.EventRecord retryEnded = entries.stream()
                .filter(e -> e instanceof CaptureEntry.EventRecord t
                        && t.event() instanceof AttemptEnded ended
                        && ended.attempt() == 1
                        && ended.outcome() == AttemptOutcome.OK)
                .map(CaptureEntry.EventRecord.class::cast)
                .findFirst()
                .orElseThrow();
        AttemptEnded ended = (AttemptEnded) retryEnded.event();
        DecisionExplainer explainer = DecisionExplainer.forRequest(ended.requestId());
        Replayer replayer = new Replayer(explainer, false, explainer);
        entries.forEach(replayer);
        List<String> steps = explainer.steps().stream()
                .map(DecisionExplainer.Step::description)
                .toList();
        assertTrue(steps.get(0).startsWith("arrives: class "), steps.toString());
        assertEquals(
                2,
                explainer.steps().stream()
                        .filter(s -> s.trace() != null && s.trace().chosen() != null)
                        .count(),
                steps.toString());
        explainer.steps().stream()
                .filter(s -> s.trace() != null && s.trace().chosen() != null)
                .forEach(s -> {
                    assertTrue(s.trace().chosen().equals(s.trace().firstDraw())
                            || s.trace().chosen().equals(s.trace().secondDraw()));
                    double chosen = s.trace().candidates().stream()
                            .filter(c -> c.endpointId().equals(s.trace().chosen()))
                            .findFirst()
                            .orElseThrow()
                            .pickMean();
                    s.trace().candidates().stream()
                            .filter(c -> c.endpointId().equals(s.trace().firstDraw())
                                    || c.endpointId().equals(s.trace().secondDraw()))
                            .forEach(c -> assertTrue(chosen <= c.pickMean() && c.weight() > 0));
                });
        assertTrue(
                steps.stream().anyMatch(s -> s.startsWith("attempt 1 at " + ended.endpointId() + " ended after ")),
                steps.toString());
        assertTrue(explainer.text().contains("t_b "));
        assertEquals(List.of(), replayer.divergences());

        DecisionExplainer endpointExplainer = DecisionExplainer.forEndpoint(ended.endpointId(), retryEnded.timestamp());
        Replayer endpointReplayer = new Replayer(endpointExplainer, false, endpointExplainer);
        entries.forEach(endpointReplayer);
        assertEquals(1, endpointExplainer.steps().size());
        assertTrue(endpointExplainer.steps().get(0).timestamp() <= retryEnded.timestamp());
        DecisionExplainer unknownRequest = DecisionExplainer.forRequest("nobody");
        entries.forEach(new Replayer(unknownRequest, false, unknownRequest));
        assertEquals(List.of(), unknownRequest.steps());
    }

    @Test
    void summaryCountsAddUp() {
        CaptureSummary summary = new CaptureSummary(100_000_000);
        List<CaptureEntry> entries = WorkloadCapture.entries(8, 6000, 1000);
        entries.forEach(new Replayer(summary, false, summary));
        long arrivals = entries.stream()
                .filter(e -> e instanceof CaptureEntry.EventRecord t && t.event() instanceof RequestArrived)
                .count();
        long sends = entries.stream()
                .filter(CaptureEntry.EventRecord.class::isInstance)
                .flatMap(e -> ((CaptureEntry.EventRecord) e).actions().stream())
                .filter(SendAttempt.class::isInstance)
                .count();
        long rejected = entries.stream()
                .filter(CaptureEntry.EventRecord.class::isInstance)
                .flatMap(e -> ((CaptureEntry.EventRecord) e).actions().stream())
                .filter(RejectRequest.class::isInstance)
                .count();
        assertEquals(
                arrivals,
                summary.byClass.values().stream().mapToLong(c -> c.arrived).sum());
        assertEquals(
                arrivals,
                summary.byInterval.values().stream().mapToLong(c -> c.arrived).sum());
        assertEquals(
                sends,
                summary.byEndpoint.values().stream().mapToLong(s -> s.sends).sum());
        assertEquals(
                rejected,
                summary.byClass.values().stream().mapToLong(c -> c.rejected).sum());
        assertEquals(
                rejected,
                summary.byClass.values().stream()
                        .flatMap(c -> c.causes.entrySet().stream())
                        .filter(c -> c.getKey().startsWith("refused: "))
                        .mapToLong(java.util.Map.Entry::getValue)
                        .sum());
        assertTrue(
                summary.byClass.values().stream().noneMatch(c -> c.causes.containsKey("refused: unknown")),
                "a rejection without a cause");
        summary.byClass
                .values()
                .forEach(c -> assertTrue(c.onTime + c.late + c.rejected + c.failed + c.disconnected <= c.arrived));
    }
}
