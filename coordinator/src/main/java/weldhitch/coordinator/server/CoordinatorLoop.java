package weldhitch.coordinator.server;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import weldhitch.consensus.AcceptorState;
import weldhitch.coordinator.core.CoordinatorCore;
import weldhitch.coordinator.core.Effect;
import weldhitch.coordinator.core.FleetState;
import weldhitch.coordinator.core.PeerMessage;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.error.FleetError;

/**
 * Runs the decision thread of a coordinator, the only thread that accesses {@link CoordinatorCore}, the disk and the
 * submissions. A decision is sent out only once it is on disk.
 *
 * <p>The package-private methods may be called from any thread and return at once; callbacks run on the decision
 * thread. After {@link #stop} the methods throw {@link java.util.concurrent.RejectedExecutionException}.
 */
final class CoordinatorLoop {
    private static final long SCAN_INTERVAL_MS = 200;

    private final CoordinatorSettings settings;
    private final Consumer<String> log;
    private final CoordinatorCore core;
    private final AcceptorStateStore stateStore;
    private final SubmissionDirectory submissions;
    private final PeerClient peers;
    private final MemberCallHandler memberCalls;
    private final QuorumMonitor quorumMonitor;
    private final Map<String, Path> submittedFiles = new HashMap<>();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "decisions");
        thread.setDaemon(false);
        return thread;
    });

    /** Creates a loop that is not started yet; it takes ownership of all arguments except the settings and the log. */
    CoordinatorLoop(
            CoordinatorSettings settings,
            Consumer<String> log,
            CoordinatorCore core,
            AcceptorStateStore stateStore,
            SubmissionDirectory submissions,
            PeerClient peers) {
        this.settings = settings;
        this.log = log;
        this.core = core;
        this.stateStore = stateStore;
        this.submissions = submissions;
        this.peers = peers;
        memberCalls = new MemberCallHandler(core, settings.timing().maxClockDrift());
        quorumMonitor = new QuorumMonitor(settings.timing().leaderLease());
    }

    /** Starts the timers. */
    void start() {
        executor.scheduleWithFixedDelay(this::tick, 0, core.tickInterval(), TimeUnit.NANOSECONDS);
        executor.scheduleWithFixedDelay(
                this::scanSubmissions, SCAN_INTERVAL_MS, SCAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Stops the decision thread, waits up to a second for it to end, and closes the state on disk. */
    void stop() {
        executor.shutdownNow();
        try {
            executor.awaitTermination(1, TimeUnit.SECONDS);
            stateStore.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            logError(new FleetError.StateWriteFailed(settings.directory().toString(), String.valueOf(e.getMessage())));
        }
    }

    /** Handles a message of another coordinator. */
    void onPeerMessage(String from, PeerMessage message) {
        executor.execute(() -> handleEvent(() -> core.onMessage(System.nanoTime(), from, message)));
    }

    /** Handles a member's call; the response is sent at once or, for a long poll, later. */
    void onMemberCall(MemberRequest request, Consumer<MemberResponse> responder) {
        executor.execute(() -> {
            if (memberCalls.onCall(request, System.nanoTime(), responder)) {
                // A newly committed command completes all pending long polls.
                tick();
            }
        });
    }

    /** Passes the text of a version to the callback; empty if this coordinator does not know the version. */
    void findBundle(long versionNumber, Consumer<Optional<String>> callback) {
        executor.execute(
                () -> callback.accept(Optional.ofNullable(core.fleetState().bundleOf(versionNumber))));
    }

    /** Passes the current status to the callback. */
    void readStatus(Consumer<CoordinatorStatus> callback) {
        executor.execute(() -> callback.accept(status()));
    }

    private CoordinatorStatus status() {
        long now = System.nanoTime();
        FleetState fleetState = core.fleetState();
        return new CoordinatorStatus(
                settings.name(),
                core.leader(now),
                core.isLeader(now),
                core.generation(),
                fleetState.activeVersion(),
                fleetState.pendingVersion(),
                fleetState.outcome(),
                fleetState.members().keySet().stream().sorted().toList(),
                core.leaseHolders(now).stream().sorted().toList(),
                core.isLeader(now) ? memberCalls.zoneLoads(now) : null);
    }

    private void tick() {
        handleEvent(() -> core.tick(System.nanoTime()));
        long now = System.nanoTime();
        memberCalls.answerExpired(now);
        if (quorumMonitor.isLossReportDue(core.leader(now) != null, now)) {
            logError(new FleetError.NoQuorum(
                    settings.name(),
                    core.followerCount(now),
                    settings.coordinators().size()));
        }
    }

    private void scanSubmissions() {
        List<FleetError> errors = new ArrayList<>();
        for (SubmissionDirectory.SubmittedFile submitted : submissions.scan(errors)) {
            submittedFiles.put(submitted.submissionId(), submitted.path());
            handleEvent(() -> core.submit(
                    System.nanoTime(),
                    submitted.submissionId(),
                    submitted.path().getFileName().toString(),
                    submitted.sha256(),
                    submitted.text()));
        }
        errors.forEach(this::logError);
        submissions.removedMembers().forEach((member, file) -> {
            if (core.removeMember(System.nanoTime(), member)) {
                log.accept("coordinator member removed by operator name=" + settings.name() + " member=" + member);
                submissions.markAccepted(file, core.generation());
            }
        });
    }

    /** Handles an event, writes the new state to disk, and only then executes the effects. */
    private void handleEvent(Supplier<List<Effect>> decision) {
        try {
            AcceptorState previousState = core.acceptorState();
            long generation = core.generation();
            List<Effect> effects = decision.get();
            if (!core.acceptorState().equals(previousState)) {
                try {
                    stateStore.write(core.acceptorState());
                } catch (IOException e) {
                    core.rollBack(previousState);
                    logError(new FleetError.StateWriteFailed(
                            settings.directory().toString(), String.valueOf(e.getMessage())));
                    return;
                }
            }
            effects.forEach(this::execute);
            if (core.generation() != generation) {
                memberCalls.answerAll(System.nanoTime());
            }
        } catch (RuntimeException e) {
            log.accept("coordinator event failed, continuing name=" + settings.name() + " error=" + e
                    + (e.getStackTrace().length > 0 ? " at=" + e.getStackTrace()[0] : ""));
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Send send) {
            peers.send(send.to(), send.message());
        } else if (effect instanceof Effect.LogEvent logEvent) {
            log.accept("coordinator=" + settings.name() + " generation=" + core.generation() + " event=\""
                    + logEvent.event() + "\"");
        } else if (effect instanceof Effect.ReportError reportError) {
            logError(reportError.error());
        } else if (effect instanceof Effect.Submitted submitted) {
            Path file = submittedFiles.remove(submitted.submissionId());
            if (file != null) {
                submissions.markAccepted(file, submitted.versionNumber());
            }
        }
    }

    private void logError(FleetError error) {
        log.accept(error.message());
    }
}
