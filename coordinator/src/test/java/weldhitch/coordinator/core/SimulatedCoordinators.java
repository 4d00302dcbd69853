package weldhitch.coordinator.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.CommittedState;
import weldhitch.fleet.activation.ActivationParticipant;
import weldhitch.fleet.activation.ActiveVersions;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberHeartbeatResponse;

/**
 * Simulates coordinators and members in virtual time, each with its own clock, over a network that a
 * {@link FaultModel} controls. The simulation knows the true time and compares the versions that members serve.
 *
 * <p>Single-threaded.
 */
public final class SimulatedCoordinators {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    private static final long POLL_INTERVAL = 400 * MILLI;
    private static final long CALL_TIMEOUT = 800 * MILLI;
    private static final long TICK_INTERVAL = 100 * MILLI;

    /** Determines the delivery of each message and the other faults of one schedule. */
    public interface FaultModel {
        /** Returns the delay of a message in nanoseconds; a negative value if the message is lost. */
        long delay(String from, String to, long now);

        /** Returns whether the message is delivered twice. */
        default boolean duplicates() {
            return false;
        }

        /**
         * Returns whether the coordinator crashes on this event: 0 if it does not, 1 if it crashes before its state is
         * on disk, 2 if it crashes after that and before it sends anything.
         */
        default int crash(String coordinator, String event, long now) {
            return 0;
        }

        /** Returns the clock's rate relative to true time. */
        default double clockRate(String process) {
            return 1;
        }

        /** Returns how long a member takes to build a version's table, in nanoseconds. */
        default long buildTime(String member) {
            return 30 * MILLI;
        }
    }

    /** The safeguard that a run disables, to show that it is necessary. */
    enum DisabledSafeguard {
        NONE,
        COMMIT_AFTER_LEASE_EXPIRY,
        NO_VOTE_AFTER_START,
        LEASE_FROM_SEND_TIME,
        NEW_MEMBER_INCARNATION,
        FENCE_BEFORE_JOIN,
        CLOCK_DRIFT_BOUND,
        CLOCK_RUNS_DURING_PAUSE,
        LEADERSHIP_CONFIRMED_FIRST,
        LEASES_WITHHELD_DURING_COMMIT,
        EVERY_VOTE
    }

    /** An action scheduled for a time; events at the same time run in the order of their sequence numbers. */
    record ScheduledEvent(long at, long sequence, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    /** A process with its own clock, which can be killed, restarted, paused and resumed. */
    private abstract class SimulatedProcess {
        final String name;
        final double clockRate;
        final long clockOffset;
        boolean running;
        boolean paused;
        long pausedNanos;
        long pausedAt;
        int startCount;
        final List<Runnable> deferred = new ArrayList<>();

        SimulatedProcess(String name) {
            this.name = name;
            clockRate = faultModel.clockRate(name);
            clockOffset = Math.floorMod(name.hashCode() * 7919L, 1_000_000) * SECOND;
        }

        long localTime() {
            return clockOffset
                    + (long) ((now - (disabledSafeguard == DisabledSafeguard.CLOCK_RUNS_DURING_PAUSE ? pausedNanos : 0))
                            * clockRate);
        }

        /**
         * Runs the action now, or when a paused process resumes. Drops it if the process has been killed in the
         * meantime.
         */
        void deliver(Runnable action) {
            int startNumber = startCount;
            Runnable guarded = () -> {
                if (running && startNumber == startCount) {
                    action.run();
                }
            };
            if (paused) {
                deferred.add(guarded);
            } else {
                guarded.run();
            }
        }

        void pause() {
            if (!paused) {
                paused = true;
                pausedAt = now;
            }
        }

        void resume() {
            if (paused) {
                paused = false;
                pausedNanos += now - pausedAt;
                List<Runnable> pending = new ArrayList<>(deferred);
                deferred.clear();
                pending.forEach(Runnable::run);
            }
        }

        String incarnation(boolean perStart) {
            return perStart ? name + "#" + startCount : name + "#1";
        }

        abstract void start();

        void kill() {
            running = false;
            paused = false;
            deferred.clear();
        }
    }

    /** A coordinator with its simulated disk. */
    final class SimulatedCoordinator extends SimulatedProcess {
        CoordinatorCore core;
        AcceptorState persisted = AcceptorState.INITIAL;
        private long lastTick;

        SimulatedCoordinator(String name) {
            super(name);
        }

        @Override
        void start() {
            startCount++;
            running = true;
            // Without a drift bound, all clocks are assumed to run at the same rate.
            LeaseTiming coordinatorTiming = disabledSafeguard == DisabledSafeguard.CLOCK_DRIFT_BOUND
                    ? new LeaseTiming(
                            timing.leaderLease(),
                            timing.memberLease(),
                            timing.activationDelay(),
                            timing.voteTimeout(),
                            0)
                    : timing;
            long startedAt = disabledSafeguard == DisabledSafeguard.NO_VOTE_AFTER_START
                    ? localTime() - timing.leaderLease()
                    : localTime();
            core = new CoordinatorCore(
                    new CoordinatorConfig(
                            name, incarnation(true), coordinatorNames, coordinatorTiming, missingMemberPolicy),
                    persisted,
                    true,
                    startedAt,
                    name.hashCode() + 31L * startCount,
                    new Safeguards(
                            // Without this safeguard, the activation time is earlier by the lease duration.
                            disabledSafeguard != DisabledSafeguard.COMMIT_AFTER_LEASE_EXPIRY,
                            disabledSafeguard != DisabledSafeguard.LEADERSHIP_CONFIRMED_FIRST,
                            disabledSafeguard != DisabledSafeguard.LEASES_WITHHELD_DURING_COMMIT,
                            disabledSafeguard != DisabledSafeguard.EVERY_VOTE));
            lastTick = localTime() - TICK_INTERVAL;
            scheduleTick(startCount);
        }

        private void scheduleTick(int startNumber) {
            schedule(TICK_INTERVAL, () -> {
                if (running && startNumber == startCount) {
                    deliver(() -> {
                        // Ticks missed during a pause are delivered as one.
                        if (localTime() - lastTick >= TICK_INTERVAL / 2) {
                            lastTick = localTime();
                            handleEvent("tick", () -> core.tick(localTime()));
                        }
                    });
                    scheduleTick(startNumber);
                }
            });
        }

        /** Handles one event in the coordinator's core and returns the effects. */
        private interface Decision {
            List<Effect> run();
        }

        void handleEvent(String event, Decision decision) {
            List<Effect> effects = decision.run();
            int crash = faultModel.crash(name, event, now);
            if (crash == 1) {
                kill();
                return;
            }
            persisted = core.acceptorState();
            checkCommitted(core.acceptorState().committed());
            checkAccepted(persisted);
            checkSingleLeader();
            if (crash == 2) {
                kill();
                return;
            }
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    send(name, send.to(), () -> {
                        SimulatedCoordinator receiver = coordinators.get(send.to());
                        if (receiver.running) {
                            receiver.deliver(() -> receiver.handleEvent(
                                    send.message().getClass().getSimpleName(),
                                    () -> receiver.core.onMessage(receiver.localTime(), name, send.message())));
                        }
                    });
                } else if (effect instanceof Effect.LogEvent logEvent) {
                    logEvent(name + ": " + logEvent.event());
                }
            }
        }

        void submit(String submissionId, String sha256) {
            deliver(() -> handleEvent(
                    "submit",
                    () -> core.submit(
                            localTime(), submissionId, submissionId + ".toml", sha256, "bundle of " + submissionId)));
        }
    }

    /** A member that polls the coordinators and serves a route version. */
    final class SimulatedMember extends SimulatedProcess {
        ActivationParticipant core;
        ActiveVersions activeVersions;
        private int coordinatorIndex;
        private long callNumber;
        boolean rejectsAllVersions;

        SimulatedMember(String name) {
            super(name);
        }

        @Override
        void start() {
            startCount++;
            running = true;
            core = new ActivationParticipant(
                    name,
                    incarnation(disabledSafeguard != DisabledSafeguard.NEW_MEMBER_INCARNATION),
                    timing.maxClockDrift(),
                    disabledSafeguard != DisabledSafeguard.FENCE_BEFORE_JOIN);
            activeVersions = core.activeVersions(localTime());
            poll(startCount);
        }

        private void poll(int startNumber) {
            if (!running || startNumber != startCount) {
                return;
            }
            deliver(() -> {
                long sentAt = localTime();
                long number = ++callNumber;
                MemberHeartbeat call = core.heartbeat(sentAt);
                publishActiveVersions();
                String coordinatorName = coordinatorNames.get(coordinatorIndex % coordinatorNames.size());
                send(name, coordinatorName, () -> {
                    SimulatedCoordinator coordinator = coordinators.get(coordinatorName);
                    if (coordinator.running) {
                        coordinator.deliver(() -> {
                            MemberHeartbeatResponse[] answer = new MemberHeartbeatResponse[1];
                            coordinator.handleEvent("call", () -> {
                                answer[0] = coordinator.core.onMemberCall(coordinator.localTime(), call);
                                checkLease(coordinator, answer[0]);
                                return List.of();
                            });
                            if (coordinator.running) {
                                send(coordinatorName, name, () -> {
                                    // A response reaches only the process that sent the call, over the same connection.
                                    if (startNumber == startCount) {
                                        deliver(() -> onAnswer(sentAt, number, answer[0]));
                                    }
                                });
                            }
                        });
                    }
                });
                schedule(CALL_TIMEOUT, () -> {
                    if (running && startNumber == startCount && number == callNumber) {
                        // There was no response: call the next coordinator.
                        deliver(() -> {
                            if (number == callNumber) {
                                coordinatorIndex++;
                                callNumber++;
                                poll(startNumber);
                            }
                        });
                    }
                });
            });
        }

        private void onAnswer(long sentAt, long number, MemberHeartbeatResponse answer) {
            if (number == callNumber) {
                callNumber++;
                if (!answer.fromLeader()) {
                    int hintedIndex = answer.leaderHint() == null ? -1 : coordinatorNames.indexOf(answer.leaderHint());
                    coordinatorIndex = hintedIndex >= 0 ? hintedIndex : coordinatorIndex + 1;
                }
                int startNumber = startCount;
                schedule(POLL_INTERVAL, () -> poll(startNumber));
            }
            // A late response is processed too, like one that arrives over a slow connection.
            execute(core.onResponse(
                    disabledSafeguard == DisabledSafeguard.LEASE_FROM_SEND_TIME ? localTime() : sentAt,
                    localTime(),
                    answer));
        }

        private void execute(List<ActivationParticipant.Effect> effects) {
            publishActiveVersions();
            for (ActivationParticipant.Effect effect : effects) {
                if (effect instanceof ActivationParticipant.Prepare prepare) {
                    int startNumber = startCount;
                    schedule(faultModel.buildTime(name), () -> {
                        if (running && startNumber == startCount) {
                            deliver(() -> execute(core.onPrepared(
                                    localTime(),
                                    prepare.version().number(),
                                    rejectsAllVersions ? List.of("x.toml:3: no") : List.of())));
                        }
                    });
                } else if (effect instanceof ActivationParticipant.LogEvent logEvent) {
                    logEvent(name + ": " + logEvent.message());
                }
            }
        }

        private void publishActiveVersions() {
            activeVersions = core.activeVersions(localTime());
            if (core.lastSwitchErrorBound() != Long.MAX_VALUE) {
                maxSwitchError = Math.max(maxSwitchError, core.lastSwitchErrorBound());
            }
        }

        /**
         * Returns the version by which a request is handled now, on a route that differs between all versions; a
         * negative value if the request is rejected.
         */
        long servedVersion() {
            if (!running
                    || paused
                    || activeVersions.isFencedAt(localTime())
                    || activeVersions.isInDoubtAt(localTime())) {
                return -1;
            }
            return activeVersions.versionAt(localTime());
        }
    }

    final FaultModel faultModel;
    final LeaseTiming timing;
    final MissingMemberPolicy missingMemberPolicy;
    final DisabledSafeguard disabledSafeguard;
    final Map<String, SimulatedCoordinator> coordinators = new LinkedHashMap<>();
    final Map<String, SimulatedMember> members = new LinkedHashMap<>();
    final List<String> coordinatorNames = new ArrayList<>();
    final List<String> eventLog = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> eventQueue = new PriorityQueue<>();
    private final Map<Long, CommittedState> committedByGeneration = new HashMap<>();
    private final Map<String, CommittedState> acceptedByBallot = new HashMap<>();
    /** Whether each decided version was committed, by version number. */
    private final Map<Long, Boolean> outcomes = new HashMap<>();
    /** The first and last true time at which any member served a version, by version number. */
    final TreeMap<Long, long[]> servedIntervals = new TreeMap<>();

    final List<String> violations = new ArrayList<>();
    long maxSwitchError;
    long now;
    long rejections;
    private long eventCount;

    SimulatedCoordinators(
            int coordinatorCount,
            int memberCount,
            LeaseTiming timing,
            MissingMemberPolicy missingMemberPolicy,
            DisabledSafeguard disabledSafeguard,
            FaultModel faultModel) {
        this.faultModel = faultModel;
        this.timing = timing;
        this.missingMemberPolicy = missingMemberPolicy;
        this.disabledSafeguard = disabledSafeguard;
        for (int i = 1; i <= coordinatorCount; i++) {
            coordinatorNames.add("s" + i);
        }
        coordinatorNames.forEach(
                coordinatorName -> coordinators.put(coordinatorName, new SimulatedCoordinator(coordinatorName)));
        for (int i = 1; i <= memberCount; i++) {
            members.put("m" + i, new SimulatedMember("m" + i));
        }
        coordinators.values().forEach(SimulatedCoordinator::start);
        members.values().forEach(SimulatedMember::start);
    }

    void schedule(long delay, Runnable work) {
        eventQueue.add(new ScheduledEvent(now + Math.max(0, delay), eventCount++, work));
    }

    private void send(String from, String to, Runnable delivery) {
        for (int deliveries = faultModel.duplicates() ? 2 : 1; deliveries > 0; deliveries--) {
            long delay = faultModel.delay(from, to, now);
            if (delay >= 0) {
                schedule(delay, delivery);
            }
        }
    }

    void logEvent(String event) {
        eventLog.add(now / MILLI + " " + event);
    }

    private void checkCommitted(CommittedState committed) {
        CommittedState other = committedByGeneration.putIfAbsent(committed.generation(), committed);
        if (other != null && !other.equals(committed)) {
            violations.add("two committed states in generation " + committed.generation());
        }
        FleetState fleetState = FleetState.fromCommitted(committed);
        if (committed.command() != null
                && (committed.command().action() == weldhitch.consensus.Command.Action.COMMIT
                        || committed.command().action() == weldhitch.consensus.Command.Action.ABORT)) {
            boolean commit =
                    fleetState.outcome() != null && fleetState.outcome().committed();
            long number = Long.parseLong(committed.command().parameters().get("number"));
            Boolean previousOutcome = outcomes.putIfAbsent(number, commit);
            if (previousOutcome != null && previousOutcome != commit) {
                violations.add("version " + number + " committed and aborted");
            }
        }
    }

    /** Checks that no ballot is accepted with two values. */
    private void checkAccepted(AcceptorState acceptorState) {
        if (acceptorState.accepted() != null) {
            CommittedState other = acceptedByBallot.putIfAbsent(
                    acceptorState.generation() + " " + acceptorState.acceptedBallot(), acceptorState.accepted());
            if (other != null && !other.equals(acceptorState.accepted())) {
                violations.add("two values accepted with ballot " + acceptorState.acceptedBallot() + " of generation "
                        + acceptorState.generation());
            }
        }
    }

    /** Checks that no two coordinators consider themselves the leader at the same time. */
    private void checkSingleLeader() {
        long leaders = coordinators.values().stream()
                .filter(coordinator -> coordinator.running
                        && !coordinator.paused
                        && coordinator.core != null
                        && coordinator.core.isLeader(coordinator.localTime()))
                .count();
        if (leaders > 1) {
            violations.add("two leaders at " + now / MILLI + " ms");
        }
    }

    /** Checks that a response that grants a lease after a version was committed includes that commit. */
    private void checkLease(SimulatedCoordinator leader, MemberHeartbeatResponse answer) {
        if (!answer.leaseGranted()) {
            return;
        }
        Map<String, Integer> acceptedCounts = new HashMap<>();
        for (SimulatedCoordinator coordinator : coordinators.values()) {
            AcceptorState acceptorState = coordinator.persisted;
            if (acceptorState.accepted() != null
                    && acceptorState.generation() > answer.generation()
                    && acceptorState.accepted().command().action() == weldhitch.consensus.Command.Action.COMMIT
                    && acceptedCounts.merge(
                                    acceptorState.generation() + " " + acceptorState.acceptedBallot(), 1, Integer::sum)
                            > coordinatorNames.size() / 2) {
                violations.add(leader.name + " granted a lease at " + now / MILLI + " ms, omitting a decided commit");
            }
        }
    }

    void runUntil(long until) {
        while (!eventQueue.isEmpty() && eventQueue.peek().at <= until) {
            ScheduledEvent next = eventQueue.poll();
            if (next.at > now) {
                // Observe the served versions just before and just after time advances.
                observeServedVersions();
                now = next.at;
                observeServedVersions();
            }
            next.action.run();
        }
        now = until;
        observeServedVersions();
    }

    private void observeServedVersions() {
        for (SimulatedMember member : members.values()) {
            long version = member.servedVersion();
            if (version >= 0) {
                long[] interval = servedIntervals.computeIfAbsent(version, newVersion -> new long[] {now, now});
                interval[1] = Math.max(interval[1], now);
            } else if (member.running && !member.paused) {
                rejections++;
            }
        }
    }

    /**
     * Returns the maximum time for which an older version was still served after a newer one; negative if that never
     * happened.
     */
    long maxOverlap() {
        long maximum = Long.MIN_VALUE;
        for (Map.Entry<Long, long[]> older : servedIntervals.entrySet()) {
            for (Map.Entry<Long, long[]> newer :
                    servedIntervals.tailMap(older.getKey(), false).entrySet()) {
                maximum = Math.max(maximum, older.getValue()[1] - newer.getValue()[0]);
            }
        }
        return maximum;
    }

    /** Restarts all processes that are down, and resumes all that are paused. */
    void restoreAll() {
        coordinators.values().forEach(coordinator -> {
            coordinator.resume();
            if (!coordinator.running) {
                coordinator.start();
            }
        });
        members.values().forEach(member -> {
            member.resume();
            if (!member.running) {
                member.start();
            }
        });
    }

    /** Returns why the cluster has not converged, or null if it has. */
    String whyNotConverged() {
        long generationCount = coordinators.values().stream()
                .mapToLong(coordinator -> coordinator.core.generation())
                .distinct()
                .count();
        if (generationCount != 1) {
            return "coordinators know different committed states";
        }
        if (coordinators.values().stream()
                .anyMatch(coordinator -> coordinator.core.fleetState().pendingVersion() != null)) {
            return "a version is still pending";
        }
        long activeVersion = coordinators
                .get(coordinatorNames.get(0))
                .core
                .fleetState()
                .activeVersion()
                .number();
        for (SimulatedMember member : members.values()) {
            // A member that cannot serve the active version serves nothing.
            if (member.servedVersion() != (member.rejectsAllVersions && activeVersion > 0 ? -1 : activeVersion)) {
                return member.name + " serves version " + member.servedVersion() + ", active is " + activeVersion;
            }
        }
        return null;
    }

    Map<Long, Boolean> outcomes() {
        return outcomes;
    }

    String eventLogText() {
        return String.join("\n", eventLog);
    }
}
