package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.testkit.TestSupport;
import weldhitch.testkit.fleet.Fault;
import weldhitch.testkit.fleet.LoadGenerator.RequestRecord;

/** End-to-end test of the activation of route versions by processes of nodes and coordinators, under faults. */
class ActivationIT {
    private static final int NODES = Integer.getInteger("weldhitch.fleet.nodes", 12);
    private static final int COORDINATORS = Integer.getInteger("weldhitch.fleet.stewards", 3);
    /**
     * Tolerated clock error in nanoseconds between processes that synchronise over loopback on a busy machine.
     */
    private static final long MAX_CLOCK_ERROR = 60_000_000L;

    @Test
    void allNodesSwitchTogetherThoughTheLeaderIsKilledOrPaused() throws Exception {
        try (CoordinatedFleet fleet = new CoordinatedFleet(NODES, COORDINATORS, 3, null)) {
            fleet.startCoordinators();
            fleet.start(Math.max(10, NODES));
            fleet.awaitAllReady();
            // Version 1: no fault.
            fleet.submit(fleet.leader(), CoordinatedFleet.routeVersion(2500));
            fleet.awaitActive(1);
            // Version 2: the leader is killed once all members have voted, and is restarted later.
            String leader = fleet.leader();
            String follower = fleet.coordinators().stream()
                    .filter(s -> !s.equals(leader))
                    .findFirst()
                    .orElseThrow();
            int fromEntry = fleet.eventLog.entries().size();
            fleet.submit(follower, CoordinatedFleet.routeVersion(2600));
            fleet.eventLog.awaitEntry(fromEntry, 20, e -> e.event().contains("version 2 committed"));
            fleet.processes.get(leader).signal("KILL");
            fleet.eventLog.awaitEntry(
                    fromEntry, 20, e -> !e.source().equals(leader) && e.event().contains("became leader, followed by"));
            fleet.processes.get(leader).start();
            fleet.awaitActive(2);
            // Version 3: the leader is suspended after the submission until another one leads, and resumes with stale
            // state.
            String pausedLeader = fleet.leader();
            fromEntry = fleet.eventLog.entries().size();
            fleet.submit(
                    fleet.coordinators().stream()
                            .filter(s -> !s.equals(pausedLeader))
                            .findFirst()
                            .orElseThrow(),
                    CoordinatedFleet.routeVersion(2700));
            fleet.eventLog.awaitEntry(fromEntry, 20, e -> e.event().contains("version 3"));
            fleet.processes.get(pausedLeader).signal("STOP");
            fleet.eventLog.awaitEntry(
                    fromEntry,
                    20,
                    e -> !e.source().equals(pausedLeader) && e.event().contains("became leader, followed by"));
            fleet.processes.get(pausedLeader).signal("CONT");
            fleet.awaitActive(3);
            List<String> violations = fleet.stopAndCheckInvariants(false);
            assertEquals(List.of(), violations, fleet.eventLog.tail(80));
            for (int version = 1; version <= 3; version++) {
                long overlap = fleet.overlap(version - 1, version);
                assertTrue(
                        overlap <= MAX_CLOCK_ERROR,
                        "version " + version + ": overlap " + overlap / 1e6 + " ms\n" + fleet.eventLog.tail(120));
                List<long[]> switches = fleet.switchIntervals(version - 1, version);
                System.out.println(String.format(
                        Locale.ROOT,
                        "version %d: %d nodes; overlap %.1f ms; first new responses within %.1f ms",
                        version,
                        switches.size(),
                        overlap / 1e6,
                        (switches.stream().mapToLong(s -> s[1]).max().orElse(0)
                                        - switches.stream()
                                                .mapToLong(s -> s[1])
                                                .min()
                                                .orElse(0))
                                / 1e6));
            }
            List<RequestRecord> requests = fleet.loadGenerator.requests();
            System.out.println("requests " + requests.size() + ", rejected "
                    + requests.stream().filter(RequestRecord::isRejected).count());
            assertTrue(
                    requests.stream().noneMatch(request -> request.unsafe() && request.isRejected()),
                    "a non-idempotent request was rejected");
        }
    }

    /**
     * All coordinators are killed between the commit and the activation time, and the state log of one is truncated.
     * Later the leader is partitioned from the others while a version is submitted to it. Nodes that know the
     * activation time must switch, non-idempotent requests, whose routes do not change, must all succeed, and all
     * nodes must serve by the latest version at the end.
     */
    @Test
    void killedOrPartitionedCoordinatorsDoNotAffectUnchangedRoutes() throws Exception {
        try (CoordinatedFleet fleet = new CoordinatedFleet(4, 3, 2, null)) {
            fleet.startCoordinators();
            fleet.start(15);
            fleet.awaitAllReady();
            fleet.submit(fleet.leader(), CoordinatedFleet.routeVersion(2500));
            fleet.awaitActive(1);
            int fromEntry = fleet.eventLog.entries().size();
            fleet.submit(fleet.leader(), CoordinatedFleet.routeVersion(2600));
            for (String node : fleet.nodes.keySet()) {
                fleet.eventLog.awaitEntry(
                        fromEntry, 20, e -> e.source().equals(node) && e.event().contains("version 2 activates in"));
            }
            for (String coordinator : fleet.coordinators()) {
                fleet.processes.get(coordinator).signal("KILL");
            }
            long killedAt = fleet.eventLog.elapsedNanos();
            // All four nodes must switch although no coordinator is running.
            TestSupport.await(() -> fleet.versionsSince(killedAt).values().stream()
                            .filter(v -> v == 2)
                            .count()
                    == 4);
            Path stateLog = fleet.coordinatorDirectory("s2").resolve("steward.log");
            try (FileChannel stateLogChannel = FileChannel.open(stateLog, StandardOpenOption.WRITE)) {
                stateLogChannel.truncate(stateLogChannel.size() - 3);
            }
            fleet.startCoordinators();
            fleet.awaitActive(2);
            String leader = fleet.leader();
            List<Fault> partition = fleet.coordinators().stream()
                    .filter(s -> !s.equals(leader))
                    .flatMap(s -> Stream.of(
                            new Fault(0, Fault.Kind.RESET, leader + ">" + s, 4000, 0),
                            new Fault(0, Fault.Kind.RESET, s + ">" + leader, 4000, 0)))
                    .toList();
            Thread submitter = TestSupport.startDaemon(() -> {
                fleet.eventLog.awaitEntry(
                        0, 30, e -> e.source().equals("fault") && e.event().contains("begins"));
                fleet.submit(leader, CoordinatedFleet.routeVersion(2700));
            });
            fleet.faultInjector.runSchedule(partition);
            submitter.join(20_000);
            fleet.awaitActive(3);
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), fleet.eventLog.tail(100));
            long overlap = fleet.worstOverlap();
            assertTrue(overlap <= MAX_CLOCK_ERROR, "overlap " + overlap / 1e6 + " ms\n" + fleet.eventLog.tail(150));
            assertTrue(
                    fleet.loadGenerator.requests().stream()
                            .noneMatch(request -> request.unsafe() && request.status() != 200),
                    "a non-idempotent request did not succeed");
            System.out.println("coordinators killed, truncated and partitioned: requests "
                    + fleet.loadGenerator.requests().size() + ", rejected "
                    + fleet.loadGenerator.requests().stream()
                            .filter(RequestRecord::isRejected)
                            .count() + ", overlap " + overlap / 1e6
                    + " ms");
        }
    }

    /**
     * One node is suspended across the activation time of a version. Another is killed after it has voted for the next
     * version and before it knows the outcome, and is restarted.
     */
    @Test
    void nodePausedAcrossActivationAndNodeRestartedInDoubtServeOneVersion() throws Exception {
        try (CoordinatedFleet fleet = new CoordinatedFleet(5, 3, 2, null)) {
            fleet.startCoordinators();
            fleet.start(12);
            fleet.awaitAllReady();
            fleet.submit(fleet.leader(), CoordinatedFleet.routeVersion(2500));
            fleet.awaitActive(1);
            int fromEntry = fleet.eventLog.entries().size();
            fleet.submit(fleet.leader(), CoordinatedFleet.routeVersion(2600));
            fleet.eventLog.awaitEntry(
                    fromEntry, 20, e -> e.source().equals("n1") && e.event().contains("version 2 activates in"));
            // The node knows the activation time but is suspended when that time passes.
            fleet.faultInjector.runSchedule(List.of(new Fault(0, Fault.Kind.STOP, "n1", 3500, 0)));
            long resumedAt = fleet.eventLog.elapsedNanos();
            fleet.awaitActive(2);
            assertTrue(
                    fleet.loadGenerator.requests().stream()
                            .filter(request -> request.node().equals("n1")
                                    && !request.unsafe()
                                    && request.status() == 200
                                    && request.sentAt() > resumedAt)
                            .allMatch(request -> "2".equals(request.routeVersion())),
                    "n1 served by an old version after it resumed");
            int fromNextEntry = fleet.eventLog.entries().size();
            fleet.submit(fleet.leader(), CoordinatedFleet.routeVersion(2700));
            fleet.eventLog.awaitEntry(
                    fromNextEntry, 20, e -> e.source().equals("n2") && e.event().contains("version 3 is prepared"));
            fleet.faultInjector.runSchedule(List.of(new Fault(0, Fault.Kind.KILL, "n2", 1500, 0)));
            fleet.awaitStable();
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), fleet.eventLog.tail(100));
            long overlap = fleet.worstOverlap();
            assertTrue(overlap <= MAX_CLOCK_ERROR, "overlap " + overlap / 1e6 + " ms\n" + fleet.eventLog.tail(150));
            System.out.println("paused across activation, restarted in doubt: active version " + fleet.activeVersion()
                    + ", overlap " + overlap / 1e6 + " ms, rejected "
                    + fleet.loadGenerator.requests().stream()
                            .filter(RequestRecord::isRejected)
                            .count() + " of "
                    + fleet.loadGenerator.requests().size());
        }
    }

    /**
     * With the missing member policy {@code fence}, a version is committed without a suspended member once the lease of
     * that member has expired. After it resumes, the member rejects requests until it has reached the coordinators
     * again, and so never serves by the old version.
     */
    @Test
    void fencedVersionIsDecidedWithoutTheMissingMember() throws Exception {
        try (CoordinatedFleet fleet = new CoordinatedFleet(4, 3, 2, null, "absent = \"fence\"\n")) {
            fleet.startCoordinators();
            fleet.start(12);
            fleet.awaitAllReady();
            fleet.submit(fleet.leader(), CoordinatedFleet.routeVersion(2500));
            fleet.awaitActive(1);
            String leader = fleet.leader();
            Thread submitter = TestSupport.startDaemon(() -> {
                fleet.eventLog.awaitEntry(
                        0, 30, e -> e.source().equals("fault") && e.event().contains("begins"));
                fleet.submit(leader, CoordinatedFleet.routeVersion(2600));
            });
            fleet.faultInjector.runSchedule(List.of(new Fault(0, Fault.Kind.STOP, "n3", 11_000, 0)));
            submitter.join(20_000);
            long resumedAt = fleet.eventLog.elapsedNanos();
            assertTrue(
                    fleet.loadGenerator.requests().stream()
                            .anyMatch(request -> !request.node().equals("n3") && "2".equals(request.routeVersion())),
                    "version 2 was not served without n3\n" + fleet.eventLog.tail(60));
            fleet.awaitActive(2);
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), fleet.eventLog.tail(60));
            assertTrue(
                    fleet.loadGenerator.requests().stream()
                            .noneMatch(request -> request.node().equals("n3")
                                    && request.sentAt() > resumedAt
                                    && "1".equals(request.routeVersion())),
                    "n3 served by the old version after it resumed");
            assertTrue(fleet.worstOverlap() <= MAX_CLOCK_ERROR, "overlap " + fleet.worstOverlap() / 1e6 + " ms");
            System.out.println("fence: committed without n3, overlap " + fleet.worstOverlap() / 1e6 + " ms");
        }
    }

    /**
     * Measures how far apart nodes switch without faults, with a request to each node every 4 ms. Runs only with
     * {@code -Dweldhitch.fleet.switches=20} or another count.
     */
    @Test
    @EnabledIfSystemProperty(named = "weldhitch.fleet.switches", matches = "[0-9]+")
    void spreadOfActivationOverManySwitches() throws Exception {
        Histogram switchSpread = new Histogram(10_000_000L, 3);
        Histogram servingGap = new Histogram(10_000_000L, 3);
        long worstOverlap = Long.MIN_VALUE;
        try (CoordinatedFleet fleet =
                new CoordinatedFleet(Integer.getInteger("weldhitch.fleet.nodes", 6), COORDINATORS, 3, null)) {
            fleet.startCoordinators();
            fleet.start(4);
            fleet.awaitAllReady();
            for (int version = 1; version <= Integer.getInteger("weldhitch.fleet.switches"); version++) {
                fleet.submit(fleet.leader(), CoordinatedFleet.routeVersion(2000 + version));
                fleet.awaitActive(version);
                worstOverlap = Math.max(worstOverlap, fleet.overlap(version - 1, version));
                List<long[]> switches = fleet.switchIntervals(version - 1, version);
                long firstSwitch = switches.stream().mapToLong(s -> s[1]).min().orElseThrow();
                for (long[] switchInterval : switches) {
                    switchSpread.recordValue((switchInterval[1] - firstSwitch) / 1000);
                    servingGap.recordValue(Math.max(0, switchInterval[1] - switchInterval[0]) / 1000);
                }
            }
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), fleet.eventLog.tail(60));
        }
        assertTrue(worstOverlap <= MAX_CLOCK_ERROR, "overlap in ns: " + worstOverlap);
        System.out.println(String.format(
                Locale.ROOT,
                "%d switches of a node: first new response after the first of all, us: p50 %d p90 %d p100 %d; between a"
                        + " node's last old request and first new response, us: p50 %d p90 %d p100 %d; worst "
                        + "overlap %.1f ms",
                switchSpread.getTotalCount(),
                switchSpread.getValueAtPercentile(50),
                switchSpread.getValueAtPercentile(90),
                switchSpread.getMaxValue(),
                servingGap.getValueAtPercentile(50),
                servingGap.getValueAtPercentile(90),
                servingGap.getMaxValue(),
                worstOverlap / 1e6));
    }

    /** A version that one node can't serve by is aborted for all; the report names node, file, line and key. */
    @Test
    void versionRejectedByOneNodeIsAbortedForAll() throws Exception {
        try (CoordinatedFleet fleet = new CoordinatedFleet(3, 1, 2, "n2")) {
            fleet.startCoordinators();
            fleet.start(20);
            fleet.awaitAllReady();
            int fromEntry = fleet.eventLog.entries().size();
            // The platform settings of n2 allow three attempts, those of the other nodes four.
            fleet.submit("s1", "version = 1\n[class.read]\nattempts = 4\n# end\n");
            String abortEvent = fleet.eventLog
                    .awaitEntry(
                            fromEntry,
                            20,
                            e -> e.source().equals("s1") && e.event().contains("version 1 aborted"))
                    .event();
            assertTrue(
                    abortEvent.contains("version 1 aborted: n2: version-1.toml:3: error: class.read.attempts: 4 is "
                            + "more than the platform's limit of 3"),
                    abortEvent);
            fleet.eventLog.awaitEntry(
                    fromEntry,
                    20,
                    e -> e.source().equals("n0") && e.event().contains("version 1 aborted: n2: version-1.toml:3"));
            assertEquals(
                    1,
                    fleet.eventLog.entries().stream()
                            .filter(e -> e.source().equals("n2") && e.event().contains("version 1 rejected: "))
                            .count());
            fleet.submit("s1", CoordinatedFleet.routeVersion(2500));
            fleet.awaitActive(2);
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), fleet.eventLog.tail(60));
        }
    }

    /**
     * Injects faults drawn from a seed into coordinators, nodes and the links to coordinators while versions are
     * submitted.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void invariantsHoldUnderSeededFaults(long seed) throws Exception {
        for (long run = 0; run < Long.getLong("weldhitch.fleet.activations", 1); run++) {
            runUnderFaults(seed + 2 * run);
        }
    }

    private static void runUnderFaults(long seed) throws Exception {
        try (CoordinatedFleet fleet = new CoordinatedFleet(5, 3, 2, null)) {
            fleet.startCoordinators();
            fleet.start(15);
            fleet.awaitAllReady();
            fleet.leader();
            List<String> processes = new ArrayList<>(fleet.processes.keySet());
            List<String> coordinatorLinks = fleet.links.keySet().stream()
                    .filter(e -> fleet.coordinators().contains(e.replaceFirst(".*>", "")))
                    .toList();
            List<Fault> schedule = Fault.randomSchedule(seed, processes, coordinatorLinks, 9000, 10);
            String description = "seed " + seed + "\n" + Fault.format(schedule) + "\n";
            Thread submitter = TestSupport.startDaemon(() -> {
                fleet.submit(fleet.coordinators().get((int) (seed % 3)), CoordinatedFleet.routeVersion(2500));
                fleet.eventLog.awaitEntry(0, 30, e -> e.event().matches(".*event=\"version 1 (active\"|aborted.*)"));
                fleet.submit(fleet.coordinators().get((int) ((seed + 1) % 3)), CoordinatedFleet.routeVersion(2600));
            });
            fleet.faultInjector.runSchedule(schedule);
            submitter.join(60_000);
            try {
                fleet.awaitStable();
            } catch (AssertionError e) {
                throw new AssertionError(description + fleet.eventLog.tail(150), e);
            }
            assertEquals(List.of(), fleet.stopAndCheckInvariants(false), description + fleet.eventLog.tail(100));
            long overlap = fleet.worstOverlap();
            assertTrue(
                    overlap <= MAX_CLOCK_ERROR,
                    description + "overlap " + overlap / 1e6 + " ms\n" + fleet.eventLog.tail(200));
            List<RequestRecord> requests = fleet.loadGenerator.requests();
            System.out.println("seed " + seed + ": " + schedule.size() + " faults, active version at the end "
                    + fleet.activeVersion() + ", requests " + requests.size()
                    + ", rejected "
                    + requests.stream().filter(RequestRecord::isRejected).count() + ", overlap "
                    + (overlap == Long.MIN_VALUE ? "none" : overlap / 1e6 + " ms"));
        }
    }
}
