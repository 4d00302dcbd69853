package weldhitch.coordinator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import weldhitch.consensus.Acceptor;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.Command;
import weldhitch.consensus.CommittedState;
import weldhitch.consensus.Message;
import weldhitch.consensus.Proposer;
import weldhitch.consensus.Reply;
import weldhitch.coordinator.core.SimulatedCoordinators.DisabledSafeguard;
import weldhitch.fleet.activation.LeaseTiming;

/**
 * Tests coordinators and members together: each version has one outcome, one version is active at a time, and the
 * cluster converges once all processes can reach each other.
 */
class VersionActivationTest {
    private static final long MILLI = SimulatedCoordinators.MILLI;
    private static final long SECOND = SimulatedCoordinators.SECOND;
    private static final LeaseTiming TIMING = LeaseTiming.DEFAULT;

    /** A reliable network with a constant delay. */
    private static final SimulatedCoordinators.FaultModel RELIABLE_NETWORK = (from, to, now) -> 2 * MILLI;

    private static SimulatedCoordinators newCluster(
            SimulatedCoordinators.FaultModel faultModel, MissingMemberPolicy missingMemberPolicy) {
        return new SimulatedCoordinators(3, 4, TIMING, missingMemberPolicy, DisabledSafeguard.NONE, faultModel);
    }

    @Test
    void versionIsCommittedAndAllMembersSwitchTogether() {
        SimulatedCoordinators cluster = newCluster(RELIABLE_NETWORK, MissingMemberPolicy.ABORT);
        cluster.runUntil(8 * SECOND);
        assertNull(cluster.whyNotConverged(), cluster.eventLogText());
        cluster.coordinators.get("s2").submit("a", "aa");
        cluster.runUntil(20 * SECOND);
        assertNull(cluster.whyNotConverged(), cluster.eventLogText());
        assertEquals(Map.of(1L, true), cluster.outcomes());
        assertTrue(
                cluster.maxOverlap() <= 4 * MILLI,
                "overlap in ns: " + cluster.maxOverlap() + "\n" + cluster.eventLogText());
        assertTrue(
                cluster.servedIntervals.get(1L)[0] - cluster.servedIntervals.get(0L)[1] < 250 * MILLI,
                "no member served any version for 250 ms or more: " + cluster.eventLogText());
        cluster.coordinators.get("s1").submit("b", "bb");
        cluster.runUntil(40 * SECOND);
        assertEquals(Map.of(1L, true, 2L, true), cluster.outcomes());
        assertNull(cluster.whyNotConverged(), cluster.eventLogText());
    }

    @Test
    void oneRejectionAbortsEverywhereAndNamesFileAndLine() {
        SimulatedCoordinators cluster = newCluster(RELIABLE_NETWORK, MissingMemberPolicy.ABORT);
        cluster.members.get("m3").rejectsAllVersions = true;
        cluster.runUntil(8 * SECOND);
        cluster.coordinators.get("s1").submit("a", "aa");
        cluster.runUntil(20 * SECOND);
        assertEquals(Map.of(1L, false), cluster.outcomes());
        assertNull(cluster.whyNotConverged(), cluster.eventLogText());
        assertTrue(cluster.eventLogText().contains("m1: version 1 aborted: m3: x.toml:3: no"), cluster.eventLogText());
    }

    @Test
    void missingVoteAbortsTheVersionAndNamesTheMember() {
        SimulatedCoordinators cluster = newCluster(RELIABLE_NETWORK, MissingMemberPolicy.ABORT);
        cluster.runUntil(8 * SECOND);
        cluster.members.get("m2").pause();
        cluster.coordinators.get("s1").submit("a", "aa");
        cluster.runUntil(25 * SECOND);
        assertEquals(Map.of(1L, false), cluster.outcomes());
        assertTrue(cluster.eventLogText().contains("received no vote in time from m2"), cluster.eventLogText());
    }

    /** If members hold leases at all times, a version is committed without the missing member, which is fenced. */
    @Test
    void withFencingTheVersionCommitsWithoutTheMissingMember() {
        SimulatedCoordinators cluster = newCluster(RELIABLE_NETWORK, MissingMemberPolicy.FENCE);
        cluster.runUntil(8 * SECOND);
        boolean[] partitioned = {true};
        SimulatedCoordinators fencedCluster = newCluster(
                (from, to, now) ->
                        partitioned[0] && now > 8 * SECOND && (from.equals("m2") || to.equals("m2")) ? -1 : 2 * MILLI,
                MissingMemberPolicy.FENCE);
        fencedCluster.runUntil(9 * SECOND);
        fencedCluster.coordinators.get("s1").submit("a", "aa");
        fencedCluster.runUntil(40 * SECOND);
        assertEquals(Map.of(1L, true), fencedCluster.outcomes(), fencedCluster.eventLogText());
        assertEquals(-1, fencedCluster.members.get("m2").servedVersion());
        assertEquals(1, fencedCluster.members.get("m1").servedVersion());
        partitioned[0] = false;
        fencedCluster.runUntil(50 * SECOND);
        assertNull(fencedCluster.whyNotConverged(), fencedCluster.eventLogText());
        assertTrue(fencedCluster.maxOverlap() <= 4 * MILLI, "overlap in ns: " + fencedCluster.maxOverlap());
    }

    /**
     * The random faults of one seed: loss, duplication and reordering of messages, clocks of different rates, crashes
     * before and after the write to disk, pauses, and partitions.
     */
    private static final class RandomFaults implements SimulatedCoordinators.FaultModel {
        final SplittableRandom random;
        final double lossRate;
        final double duplicationRate;
        final double crashRate;
        final long maxDelay;
        final long partitionStart;
        final long partitionLength;
        final String partitionedProcess;
        /** The lost messages: 0 for those from the process, 1 for those to it, 2 for both. */
        final int partitionDirection;

        boolean faultFree;

        RandomFaults(long seed) {
            random = new SplittableRandom(seed);
            lossRate = random.nextInt(3) * 0.1;
            duplicationRate = random.nextInt(2) * 0.05;
            crashRate = random.nextInt(3) * 0.003;
            maxDelay = new long[] {5, 60, 400}[random.nextInt(3)] * MILLI;
            partitionStart = 7 * SECOND + random.nextLong(8 * SECOND);
            partitionLength = (random.nextInt(3) == 0 ? 14 : 4) * SECOND;
            partitionedProcess = List.of("s1", "s2", "m1", "").get(random.nextInt(4));
            partitionDirection = random.nextInt(3);
        }

        @Override
        public long delay(String from, String to, long now) {
            if (faultFree) {
                return MILLI;
            }
            boolean partitioned = now > partitionStart
                    && now < partitionStart + partitionLength
                    && (partitionDirection != 1 && from.equals(partitionedProcess)
                            || partitionDirection != 0 && to.equals(partitionedProcess));
            return partitioned || random.nextDouble() < lossRate ? -1 : random.nextLong(maxDelay);
        }

        @Override
        public boolean duplicates() {
            return !faultFree && random.nextDouble() < duplicationRate;
        }

        @Override
        public int crash(String coordinator, String event, long now) {
            return !faultFree && now > 5 * SECOND && random.nextDouble() < crashRate ? 1 + random.nextInt(2) : 0;
        }

        @Override
        public double clockRate(String process) {
            return 1
                    + (new SplittableRandom(process.hashCode() * 31L + maxDelay).nextDouble() * 2 - 1)
                            * TIMING.maxClockDrift()
                            * 0.95;
        }

        @Override
        public long buildTime(String member) {
            return random.nextLong(300 * MILLI);
        }
    }

    /** The result of one schedule; {@code violation} is null if no invariant was violated. */
    private record RunResult(SimulatedCoordinators cluster, String violation) {}

    private static RunResult runSchedule(long seed, DisabledSafeguard disabledSafeguard) {
        RandomFaults faults = new RandomFaults(seed);
        SplittableRandom random = new SplittableRandom(seed * 17 + 5);
        int coordinatorCount = 1 + 2 * random.nextInt(3);
        SimulatedCoordinators cluster = new SimulatedCoordinators(
                coordinatorCount,
                1 + random.nextInt(5),
                TIMING,
                random.nextInt(4) == 0 ? MissingMemberPolicy.FENCE : MissingMemberPolicy.ABORT,
                disabledSafeguard,
                faults);
        if (random.nextInt(5) == 0) {
            cluster.members.get("m1").rejectsAllVersions = true;
        }
        cluster.runUntil(6 * SECOND);
        for (int i = 0; i < 1 + random.nextInt(2); i++) {
            cluster.coordinators
                    .get("s" + (1 + random.nextInt(coordinatorCount)))
                    .submit("v" + i, "sha" + i);
        }
        List<SimulatedCoordinators.SimulatedCoordinator> coordinators = new ArrayList<>(cluster.coordinators.values());
        List<SimulatedCoordinators.SimulatedMember> members = new ArrayList<>(cluster.members.values());
        for (int i = 0; i < 40; i++) {
            cluster.runUntil(cluster.now + random.nextLong(600 * MILLI));
            switch (random.nextInt(9)) {
                case 0 -> {
                    SimulatedCoordinators.SimulatedCoordinator coordinator =
                            coordinators.get(random.nextInt(coordinators.size()));
                    coordinator.pause();
                    cluster.schedule(random.nextLong(5 * SECOND), coordinator::resume);
                }
                case 1 -> {
                    SimulatedCoordinators.SimulatedMember member = members.get(random.nextInt(members.size()));
                    member.pause();
                    cluster.schedule(random.nextLong(5 * SECOND), member::resume);
                }
                case 2 -> {
                    SimulatedCoordinators.SimulatedCoordinator coordinator =
                            coordinators.get(random.nextInt(coordinators.size()));
                    coordinator.kill();
                    cluster.schedule(random.nextLong(2 * SECOND), () -> {
                        if (!coordinator.running) {
                            coordinator.start();
                        }
                    });
                }
                case 3 -> {
                    SimulatedCoordinators.SimulatedMember member = members.get(random.nextInt(members.size()));
                    member.kill();
                    cluster.schedule(random.nextLong(SECOND), () -> {
                        if (!member.running) {
                            member.start();
                        }
                    });
                }
                case 4 ->
                    coordinators.stream()
                            .filter(coordinator -> !coordinator.running)
                            .forEach(SimulatedCoordinators.SimulatedCoordinator::start);
                default -> {}
            }
        }
        faults.faultFree = true;
        cluster.restoreAll();
        cluster.runUntil(cluster.now + 45 * SECOND);
        String violation = cluster.violations.isEmpty() ? null : cluster.violations.get(0);
        // Each of two members may deviate from the activation time by its known clock error.
        if (violation == null && cluster.maxOverlap() > 2 * cluster.maxSwitchError + MILLI) {
            violation = "two versions served at the same time: overlap " + cluster.maxOverlap() / MILLI + " ms, error "
                    + cluster.maxSwitchError / MILLI + " ms";
        }
        if (violation == null && cluster.whyNotConverged() != null) {
            violation = "does not converge: " + cluster.whyNotConverged();
        }
        return new RunResult(cluster, violation);
    }

    @Test
    void noRandomScheduleViolatesAnInvariant() {
        int schedules = Integer.getInteger("activation.schedules", 1000);
        Map<Boolean, Integer> outcomes = new java.util.concurrent.ConcurrentHashMap<>();
        int firstSeed = Integer.getInteger("activation.first", 0);
        List<String> violations = IntStream.range(firstSeed, firstSeed + schedules)
                .parallel()
                .mapToObj(seed -> {
                    RunResult result = runSchedule(seed, DisabledSafeguard.NONE);
                    result.cluster.outcomes().values().forEach(outcome -> outcomes.merge(outcome, 1, Integer::sum));
                    return result.violation == null
                            ? null
                            : "seed " + seed + ": " + result.violation + "\n" + result.cluster.eventLogText();
                })
                .filter(java.util.Objects::nonNull)
                .limit(3)
                .toList();
        assertEquals(List.of(), violations, () -> String.join("\n\n", violations));
        // The schedules are a useful test only if both outcomes are frequent.
        assertTrue(
                schedules < 100
                        || outcomes.getOrDefault(true, 0) > schedules / 4
                                && outcomes.getOrDefault(false, 0) > schedules / 20,
                outcomes.toString());
        System.out.println(schedules + " schedules, versions committed and aborted: " + outcomes);
    }

    /**
     * A fault of one process: its kind, the process, and its start time. The duration depends on the kind: 0 kills the
     * process and restarts it, 1 pauses it, 2 drops the messages from it, and 3 drops the messages to it.
     */
    private record InjectedFault(int kind, String process, long at) {
        static final long[] DURATION_BY_KIND = {300 * MILLI, 3 * SECOND, 3 * SECOND, 3 * SECOND};

        boolean drops(String from, String to, long now) {
            return now >= at
                    && now < at + DURATION_BY_KIND[kind]
                    && (kind == 2 && from.equals(process) || kind == 3 && to.equals(process));
        }

        void inject(SimulatedCoordinators cluster) {
            if (kind > 1) {
                return;
            }
            SimulatedCoordinators.SimulatedCoordinator coordinator = cluster.coordinators.get(process);
            SimulatedCoordinators.SimulatedMember member = cluster.members.get(process);
            cluster.schedule(at - cluster.now, () -> {
                if (kind == 0) {
                    if (coordinator != null) {
                        coordinator.kill();
                    } else {
                        member.kill();
                    }
                } else if (coordinator != null) {
                    coordinator.pause();
                } else {
                    member.pause();
                }
            });
            cluster.schedule(at - cluster.now + DURATION_BY_KIND[kind], () -> {
                if (coordinator != null) {
                    coordinator.resume();
                    if (!coordinator.running) {
                        coordinator.start();
                    }
                } else {
                    member.resume();
                    if (!member.running) {
                        member.start();
                    }
                }
            });
        }
    }

    /**
     * Tests every combination of up to two faults (a process killed and restarted, paused for 3 s, its messages lost
     * for 3 s, or messages to it lost for 3 s) on a grid of times from before a version is submitted until it is
     * finalized, with 3 coordinators and 2 members.
     */
    @Test
    void noPairOfFaultsViolatesAnInvariant() {
        long gridStep = Long.getLong("activation.grid", 1500) * MILLI;
        List<InjectedFault> faults = new ArrayList<>();
        for (long at = 6500 * MILLI; at < 12_500 * MILLI; at += gridStep) {
            for (String process : List.of("s1", "s2", "s3", "m1", "m2")) {
                for (int kind = 0; kind < 4; kind++) {
                    faults.add(new InjectedFault(kind, process, at));
                }
            }
        }
        int faultCount = faults.size();
        List<String> violations = IntStream.range(0, faultCount * faultCount)
                .parallel()
                .filter(i -> i / faultCount <= i % faultCount)
                .mapToObj(i -> {
                    InjectedFault firstFault = faults.get(i / faultCount);
                    InjectedFault secondFault = faults.get(i % faultCount);
                    SimulatedCoordinators cluster = new SimulatedCoordinators(
                            3,
                            2,
                            TIMING,
                            MissingMemberPolicy.ABORT,
                            DisabledSafeguard.NONE,
                            (from, to, now) -> firstFault.drops(from, to, now) || secondFault.drops(from, to, now)
                                    ? -1
                                    : 2 * MILLI);
                    cluster.runUntil(6 * SECOND);
                    cluster.schedule(SECOND, () -> {
                        if (cluster.coordinators.get("s2").running) {
                            cluster.coordinators.get("s2").submit("v", "sha");
                        }
                    });
                    firstFault.inject(cluster);
                    if (firstFault != secondFault) {
                        secondFault.inject(cluster);
                    }
                    cluster.runUntil(17 * SECOND);
                    cluster.restoreAll();
                    cluster.runUntil(50 * SECOND);
                    String violation = !cluster.violations.isEmpty()
                            ? cluster.violations.get(0)
                            : cluster.maxOverlap() > 2 * cluster.maxSwitchError + MILLI
                                    ? "overlap in ns: " + cluster.maxOverlap()
                                    : cluster.whyNotConverged();
                    return violation == null
                            ? null
                            : firstFault + " and " + secondFault + ": " + violation + "\n" + cluster.eventLogText();
                })
                .filter(java.util.Objects::nonNull)
                .limit(3)
                .toList();
        assertEquals(List.of(), violations, () -> String.join("\n\n", violations));
        System.out.println(faultCount * (faultCount + 1) / 2 + " placements of one or two faults");
    }

    /** Tests that each safeguard is necessary: without it, some schedule violates an invariant. */
    @ParameterizedTest
    @EnumSource(
            value = DisabledSafeguard.class,
            names = {"NONE", "EVERY_VOTE", "CLOCK_DRIFT_BOUND"},
            mode = EnumSource.Mode.EXCLUDE)
    void withoutEachSafeguardSomeScheduleViolatesAnInvariant(DisabledSafeguard disabledSafeguard) {
        assertTrue(
                IntStream.range(0, 8000)
                        .parallel()
                        .anyMatch(seed -> runSchedule(seed, disabledSafeguard).violation != null),
                disabledSafeguard + " is not necessary in any schedule");
    }

    /** A member that did not vote serves the old version indefinitely, so a commit without its vote is premature. */
    @Test
    void withoutEveryVoteVersionsOverlap() {
        for (DisabledSafeguard disabledSafeguard : List.of(DisabledSafeguard.NONE, DisabledSafeguard.EVERY_VOTE)) {
            SimulatedCoordinators cluster = new SimulatedCoordinators(
                    3,
                    3,
                    TIMING,
                    MissingMemberPolicy.ABORT,
                    disabledSafeguard,
                    (from, to, now) -> now > 8 * SECOND && (from.equals("m2") || to.equals("m2")) ? -1 : 2 * MILLI);
            cluster.runUntil(8 * SECOND);
            cluster.coordinators.get("s1").submit("a", "aa");
            cluster.runUntil(30 * SECOND);
            assertEquals(
                    disabledSafeguard == DisabledSafeguard.EVERY_VOTE,
                    cluster.maxOverlap() > SECOND,
                    disabledSafeguard + ": overlap in ns: " + cluster.maxOverlap());
        }
    }

    /** A member with a slow clock holds its lease for longer than a coordinator with a fast clock assumes. */
    @Test
    void withoutTheDriftBoundVersionsOverlap() {
        LeaseTiming timing = new LeaseTiming(2 * SECOND, 3 * SECOND, 50 * MILLI, 10 * SECOND, 0.05);
        SimulatedCoordinators.FaultModel faultModel = new SimulatedCoordinators.FaultModel() {
            @Override
            public long delay(String from, String to, long now) {
                return to.equals("m1") && now > 8600 * MILLI ? -1 : 2 * MILLI;
            }

            @Override
            public double clockRate(String process) {
                return process.equals("m1") ? 0.955 : 1.045;
            }

            @Override
            public long buildTime(String member) {
                return member.equals("m1") ? 600 * MILLI : 30 * MILLI;
            }
        };
        for (DisabledSafeguard disabledSafeguard :
                List.of(DisabledSafeguard.NONE, DisabledSafeguard.CLOCK_DRIFT_BOUND)) {
            SimulatedCoordinators cluster =
                    new SimulatedCoordinators(3, 2, timing, MissingMemberPolicy.ABORT, disabledSafeguard, faultModel);
            cluster.runUntil(8 * SECOND);
            cluster.coordinators.get("s1").submit("a", "aa");
            cluster.runUntil(20 * SECOND);
            assertEquals(Map.of(1L, true), cluster.outcomes(), cluster.eventLogText());
            assertEquals(
                    disabledSafeguard == DisabledSafeguard.CLOCK_DRIFT_BOUND,
                    cluster.maxOverlap() > 50 * MILLI,
                    disabledSafeguard + ": overlap in ns: " + cluster.maxOverlap() + "\n" + cluster.eventLogText());
        }
    }

    /** Two starts of a proposer under the same name use the same ballots, so two values can be committed. */
    @Test
    void sharedProposerNameLosesACommittedCommand() {
        for (boolean sameName : new boolean[] {false, true}) {
            List<String> names = List.of("a", "b", "c");
            Map<String, Acceptor> acceptors = new java.util.HashMap<>();
            names.forEach(name -> acceptors.put(name, new Acceptor(name, AcceptorState.INITIAL)));
            runRound(newProposer("p#1", names, "X", 1), acceptors, names, List.of("a"), false);
            var second = newProposer(sameName ? "p#1" : "p#2", names, "Y", 1);
            runRound(second, acceptors, List.of("b", "c"), List.of("b", "c"), true);
            assertEquals("Y", committedId(second));
            // The commit is not announced. Another proposer completes the proposal as far as it learns of it.
            var third = newProposer("q", names, "Z", 2);
            runRound(third, acceptors, List.of("a", "b"), List.of("a", "b"), true);
            assertEquals(
                    sameName ? "X" : "Y",
                    third.outcome() instanceof Proposer.Conflict conflict
                            ? conflict.state().command().id()
                            : committedId(third));
        }
    }

    private static Proposer newProposer(String name, List<String> acceptors, String commandId, long round) {
        return new Proposer(
                name,
                acceptors,
                CommittedState.INITIAL,
                new Command(commandId, name, "", Command.Action.NO_OP, java.util.Set.of(), 0),
                round);
    }

    private static String committedId(Proposer proposer) {
        return ((Proposer.Committed) proposer.outcome()).state().command().id();
    }

    /**
     * Runs phase 1 with some acceptors and phase 2 with others, without announcing the result. The proposer receives
     * the replies of phase 2 only if {@code deliverReplies} is true.
     */
    private static void runRound(
            Proposer proposer,
            Map<String, Acceptor> acceptors,
            List<String> prepareAt,
            List<String> acceptAt,
            boolean deliverReplies) {
        Message prepare = proposer.startRound();
        Message next = null;
        for (String acceptorName : prepareAt) {
            Message response = proposer.onReply(acceptors.get(acceptorName).onMessage(prepare));
            next = response != null ? response : next;
        }
        for (String acceptorName : acceptAt) {
            Reply reply = acceptors.get(acceptorName).onMessage(next);
            if (deliverReplies) {
                proposer.onReply(reply);
            }
        }
    }
}
