package weldhitch.coordinator.server;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
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
 * Runs the decision thread of a coordinator, the only thread that accesses {@link CoordinatorCore} and the state on
 * disk. A decision is sent out only once it is on disk. Submissions are read on the thread of a {@link
 * SubmissionScanner}.
 *
 * <p>The package-private methods may be called from any thread and return at once; callbacks run on the decision
 * thread. After {@link #stop} the methods throw {@link java.util.concurrent.RejectedExecutionException}.
 */
final class CoordinatorLoop {
    private final CoordinatorSettings settings;
    private final Consumer<String> log;
    private final TaskGuard guard;
    private final CoordinatorCore core;
    private final AcceptorStateStore stateStore;
    private final SubmissionScanner submissions;
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
        guard = new TaskGuard(settings.name(), log);
        this.core = core;
        this.stateStore = stateStore;
        this.submissions = new SubmissionScanner(submissions, new SubmissionReceiver(), guard);
        this.peers = peers;
        memberCalls = new MemberCallHandler(core, settings.timing().maxClockDrift());
        quorumMonitor = new QuorumMonitor(settings.timing().leaderLease());
    }

    /** Starts the timers. */
    void start() {
        executor.scheduleWithFixedDelay(
                guard.guarded("tick", this::tick), 0, core.tickInterval(), TimeUnit.NANOSECONDS);
        submissions.start();
    }

    /** Stops the decision thread, waits up to a second for it to end, and closes the state on disk. */
    void stop() {
        submissions.stop();
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
        executor.execute(guard.guarded("member call", () -> {
            if (memberCalls.onCall(request, System.nanoTime(), responder)) {
                // A newly committed command completes all pending long polls.
                tick();
            }
        }));
    }

    /** Passes the text of a version to the callback; empty if this coordinator does not know the version. */
    void findBundle(long versionNumber, Consumer<Optional<String>> callback) {
        executor.execute(guard.guarded(
                "bundle request",
                () -> callback.accept(Optional.ofNullable(core.fleetState().bundleOf(versionNumber)))));
    }

    /** Passes the current status to the callback. */
    void readStatus(Consumer<CoordinatorStatus> callback) {
        executor.execute(guard.guarded("status request", () -> callback.accept(status())));
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

    /** Hands the submissions that a scan has found over to the decision thread. */
    private final class SubmissionReceiver implements SubmissionScanner.Receiver {
        @Override
        public Future<?> onScan(List<SubmissionDirectory.SubmittedFile> submitted, Map<String, Path> removedMembers) {
            return executor.submit(guard.guarded("submissions", () -> {
                submitted.forEach(CoordinatorLoop.this::submit);
                removedMembers.forEach(CoordinatorLoop.this::removeMember);
            }));
        }

        @Override
        public void onError(FleetError error) {
            logError(error);
        }
    }

    private void submit(SubmissionDirectory.SubmittedFile submitted) {
        submittedFiles.put(submitted.submissionId(), submitted.path());
        handleEvent(() -> core.submit(
                System.nanoTime(),
                submitted.submissionId(),
                submitted.path().getFileName().toString(),
                submitted.sha256(),
                submitted.text()));
    }

    private void removeMember(String member, Path file) {
        if (core.removeMember(System.nanoTime(), member)) {
            log.accept("coordinator member removed by operator name=" + settings.name() + " member=" + member);
            submissions.markAccepted(file, core.generation());
        }
    }

    /** Handles an event, writes the new state to disk, and only then executes the effects. */
    private void handleEvent(Supplier<List<Effect>> decision) {
        long generation = core.generation();
        decide(decision).forEach(this::executeGuarded);
        if (core.generation() != generation) {
            memberCalls.answerAll(System.nanoTime());
        }
    }

    /**
     * Returns the effects of an event once the state is on disk. If the event fails or the state cannot be written,
     * returns to the state on disk, with no effects: otherwise a later event would act on a state that a restart
     * forgets.
     */
    private List<Effect> decide(Supplier<List<Effect>> decision) {
        AcceptorState previousState = core.acceptorState();
        try {
            List<Effect> effects = decision.get();
            if (!core.acceptorState().equals(previousState)) {
                stateStore.write(core.acceptorState());
            }
            return effects;
        } catch (IOException e) {
            core.rollBack(previousState);
            logError(new FleetError.StateWriteFailed(settings.directory().toString(), String.valueOf(e.getMessage())));
        } catch (RuntimeException | Error e) {
            if (!core.acceptorState().equals(previousState)) {
                core.rollBack(previousState);
            }
            guard.report("decision", e);
        }
        return List.of();
    }

    /** Executes one effect; if it fails, those after it are executed all the same. */
    private void executeGuarded(Effect effect) {
        guard.guarded("effect " + effect.getClass().getSimpleName(), () -> execute(effect))
                .run();
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
