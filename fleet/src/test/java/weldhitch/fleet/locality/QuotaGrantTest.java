package weldhitch.fleet.locality;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Tests the safety property of quota grants: the nodes together never have permission for more than the largest
 * headroom that a zone had within the last grant duration. It must hold across changes of leader, for late, lost and
 * duplicated messages, and for clocks that drift apart by the configured bound. The tests run seeded schedules, and
 * verify that some schedule violates the property if any one of the safeguards is disabled.
 */
class QuotaGrantTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MAX_CLOCK_DRIFT = 0.002;
    private static final double CAPACITY = 1000;
    private static final double TARGET_UTILIZATION = 0.85;

    /** The safeguard that a schedule runs without. */
    private enum DisabledSafeguard {
        NONE,
        SENDING_TIME,
        REPLACED_GRANTS,
        NEW_LEADER_WAIT,
        GRANT_EXPIRY
    }

    /** One simulated schedule of nodes, messages and leaders. */
    private static final class GrantSchedule {
        final SplittableRandom random;
        final DisabledSafeguard disabledSafeguard;
        final TestScheduler scheduler = new TestScheduler();
        final TreeMap<Long, Double> headroomByTime = new TreeMap<>();
        final List<SpillTokens> tokensByNode = new ArrayList<>();
        final List<Double> clockRates = new ArrayList<>();
        final double[] demand;
        long now;
        double ownLoad;
        ZoneLoadAggregator leader;
        String violation;

        GrantSchedule(long seed, DisabledSafeguard disabledSafeguard) {
            random = new SplittableRandom(seed);
            this.disabledSafeguard = disabledSafeguard;
            int count = 2 + random.nextInt(3);
            demand = new double[count];
            for (int node = 0; node < count; node++) {
                tokensByNode.add(new SpillTokens());
                clockRates.add(1 + MAX_CLOCK_DRIFT * (2 * random.nextDouble() - 1));
            }
        }

        long localTime(int node) {
            return (long) (now * clockRates.get(node));
        }

        void schedule(long delay, Runnable action) {
            scheduler.schedule(now + delay, action);
        }

        private long randomDelay() {
            return random.nextInt(8) == 0
                    ? random.nextLong(2500 * NANOS_PER_MILLI)
                    : random.nextLong(60 * NANOS_PER_MILLI);
        }

        /** Runs the schedule; returns the violation found, or null. */
        String run() {
            startLeader();
            changeLoad();
            for (int node = 0; node < tokensByNode.size(); node++) {
                sendReport(node);
            }
            while (now < 20_000 * NANOS_PER_MILLI && violation == null) {
                now = scheduler.nextTime();
                scheduler.runNext();
                checkHeadroom();
            }
            return violation;
        }

        /** Starts a new leader after the previous one has ended, whose grants may still be in transit. */
        void startLeader() {
            leader = new ZoneLoadAggregator(
                    disabledSafeguard == DisabledSafeguard.NEW_LEADER_WAIT
                            ? now - ZoneLoadAggregator.GRANT_DURATION
                            : now,
                    MAX_CLOCK_DRIFT,
                    disabledSafeguard == DisabledSafeguard.REPLACED_GRANTS
                            ? ReplacedGrants.IGNORED
                            : ReplacedGrants.COUNTED_UNTIL_EXPIRY);
        }

        void changeLoad() {
            ownLoad = random.nextInt(900);
            headroomByTime.put(now, Math.max(0, TARGET_UTILIZATION * CAPACITY - ownLoad));
            demand[random.nextInt(demand.length)] = random.nextInt(4) == 0 ? 0 : random.nextInt(800);
            if (random.nextInt(6) == 0) {
                leader = null;
                schedule(random.nextLong(1500 * NANOS_PER_MILLI), this::startLeader);
            }
            schedule(50 * NANOS_PER_MILLI + random.nextLong(900 * NANOS_PER_MILLI), this::changeLoad);
        }

        void sendReport(int node) {
            long sentAt = localTime(node);
            NodeLoadReport report = new NodeLoadReport(
                    TARGET_UTILIZATION,
                    0.3,
                    Map.of("z", new ZoneLoadReport(CAPACITY, ownLoad / tokensByNode.size(), 0, 1, 0, 1, 0)),
                    Map.of("z", demand[node]));
            if (random.nextInt(5) > 0) {
                schedule(randomDelay(), () -> {
                    if (leader != null) {
                        leader.onReport("n" + node, report, now);
                        FleetView view = leader.viewFor("n" + node, tokensByNode.size(), now);
                        for (int deliveries = random.nextInt(4) == 0 ? 0 : 1 + random.nextInt(2);
                                deliveries > 0;
                                deliveries--) {
                            schedule(randomDelay(), () -> onFleetView(node, view, sentAt));
                        }
                    }
                });
            }
            schedule(150 * NANOS_PER_MILLI + random.nextLong(100 * NANOS_PER_MILLI), () -> sendReport(node));
        }

        private void onFleetView(int node, FleetView view, long sentAt) {
            long from = disabledSafeguard == DisabledSafeguard.SENDING_TIME ? localTime(node) : sentAt;
            long grantDuration = disabledSafeguard == DisabledSafeguard.GRANT_EXPIRY
                    ? 10 * view.grantDuration()
                    : view.grantDuration();
            view.grants()
                    .forEach((zone, callsPerSecond) -> tokensByNode
                            .get(node)
                            .replaceGrant(zone, new QuotaGrant(callsPerSecond, from + grantDuration), localTime(node)));
        }

        private void checkHeadroom() {
            double totalRate = 0;
            for (int node = 0; node < tokensByNode.size(); node++) {
                totalRate += tokensByNode.get(node).grantedRate("z", localTime(node));
            }
            // A merged view is some milliseconds old and is based on reports that took up to the longest delay to
            // arrive.
            long since = now
                    - ZoneLoadAggregator.GRANT_DURATION
                    - ZoneLoadAggregator.MAX_REPORT_AGE
                    - 2600 * NANOS_PER_MILLI;
            double maxHeadroom = headroomByTime.tailMap(since).values().stream()
                    .mapToDouble(d -> d)
                    .max()
                    .orElse(Double.MAX_VALUE);
            Map.Entry<Long, Double> before = headroomByTime.floorEntry(since);
            maxHeadroom = before == null ? maxHeadroom : Math.max(maxHeadroom, before.getValue());
            if (totalRate > maxHeadroom + 1e-6) {
                violation = "at " + now / NANOS_PER_MILLI + " ms granted " + totalRate + ", headroom " + maxHeadroom;
            }
        }
    }

    private static String firstViolation(DisabledSafeguard disabledSafeguard, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            String violation = new GrantSchedule(seed, disabledSafeguard).run();
            if (violation != null) {
                return "seed " + seed + ": " + violation;
            }
        }
        return null;
    }

    @Test
    void grantedRateNeverExceedsTheHeadroom() {
        assertNull(firstViolation(DisabledSafeguard.NONE, Integer.getInteger("locality.schedules", 1000)));
    }

    @Test
    void eachDisabledSafeguardIsDetected() {
        for (DisabledSafeguard disabledSafeguard : DisabledSafeguard.values()) {
            if (disabledSafeguard != DisabledSafeguard.NONE) {
                String violation = firstViolation(disabledSafeguard, 5000);
                assertNotNull(violation, "no violation without " + disabledSafeguard);
                System.out.println("without " + disabledSafeguard + ": " + violation);
            }
        }
    }

    /** Tests all combinations on a grid of two nodes, three message delays and the time of a change of leader. */
    @Test
    void leaderChangeAtEveryPointOfAGridKeepsTheHeadroom() {
        int schedules = 0;
        long[] delays = {10 * NANOS_PER_MILLI, 700 * NANOS_PER_MILLI, 1900 * NANOS_PER_MILLI};
        for (long firstDelay : delays) {
            for (long secondDelay : delays) {
                for (long leaderEnd = 0; leaderEnd <= 3000 * NANOS_PER_MILLI; leaderEnd += 100 * NANOS_PER_MILLI) {
                    for (long leaderlessFor : new long[] {0, 400 * NANOS_PER_MILLI, 1500 * NANOS_PER_MILLI}) {
                        double maxRate = maxGrantedRate(firstDelay, secondDelay, leaderEnd, leaderlessFor);
                        assertTrue(
                                maxRate <= 200 + 1e-6,
                                firstDelay / NANOS_PER_MILLI + " and " + secondDelay / NANOS_PER_MILLI
                                        + " ms delay, leader ends at " + leaderEnd / NANOS_PER_MILLI
                                        + " ms, next one after " + leaderlessFor / NANOS_PER_MILLI + " ms: granted "
                                        + maxRate);
                        schedules++;
                    }
                }
            }
        }
        System.out.println("changes of leader tested: " + schedules);
    }

    /**
     * Returns the largest total of grants when each of two nodes requests a headroom of 200 completely: the first node
     * from the former leader, then both from the next leader.
     */
    private static double maxGrantedRate(long firstDelay, long secondDelay, long leaderEnd, long leaderlessFor) {
        ZoneLoadAggregator aggregator = new ZoneLoadAggregator(-ZoneLoadAggregator.GRANT_DURATION, 0);
        List<SpillTokens> tokensByNode = List.of(new SpillTokens(), new SpillTokens());
        TestScheduler scheduler = new TestScheduler();
        NodeLoadReport demandingReport =
                new NodeLoadReport(1, 0.3, Map.of("z", new ZoneLoadReport(200, 0, 0, 1, 0, 1, 0)), Map.of("z", 200.0));
        NodeLoadReport idleReport =
                new NodeLoadReport(1, 0.3, Map.of("z", new ZoneLoadReport(200, 0, 0, 1, 0, 1, 0)), Map.of());
        double maxRate = 0;
        for (long now = 0; now <= 8000 * NANOS_PER_MILLI; now += 100 * NANOS_PER_MILLI) {
            scheduler.runDue(now);
            if (now == leaderEnd) {
                aggregator = null;
            }
            if (now == leaderEnd + leaderlessFor) {
                aggregator = new ZoneLoadAggregator(now, 0);
            }
            for (int n = 0; n < 2 && aggregator != null; n++) {
                // Before the change of leader only the first node requests it, afterwards both do.
                boolean demanding = n == 0 || now > leaderEnd;
                aggregator.onReport("n" + n, demanding ? demandingReport : idleReport, now);
                FleetView view = aggregator.viewFor("n" + n, 2, now);
                int node = n;
                long sentAt = now;
                long delay = n == 0 ? firstDelay : secondDelay;
                scheduler.schedule(
                        now + delay,
                        () -> view.grants()
                                .forEach((zone, callsPerSecond) -> tokensByNode
                                        .get(node)
                                        .replaceGrant(
                                                zone,
                                                new QuotaGrant(callsPerSecond, sentAt + view.grantDuration()),
                                                sentAt + delay)));
            }
            double totalRate = tokensByNode.get(0).grantedRate("z", now)
                    + tokensByNode.get(1).grantedRate("z", now);
            maxRate = Math.max(maxRate, totalRate);
        }
        return maxRate;
    }
}
