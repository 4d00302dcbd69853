package weldhitch.fleet.locality;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntPredicate;

/**
 * A simulated fleet for tests: nodes in zones with their rules, a leading coordinator and the network between them, in
 * steps of 5 ms. The endpoints of a zone are simulated by their total capacity. Not thread-safe.
 */
final class SimulatedFleet {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final long SECOND = 1000 * NANOS_PER_MILLI;
    static final double CAPACITY_PER_ENDPOINT = 100;
    private static final long TIME_STEP = 5 * NANOS_PER_MILLI;
    private static final long REPORT_INTERVAL = 200 * NANOS_PER_MILLI;

    /**
     * A zone: its capacity, and the rate in calls per second that clients send to its nodes, as a function of the
     * seconds since the start.
     */
    static final class SimulatedZone {
        final String name;
        final int endpointCount;
        final int nodeCount;
        final DoubleUnaryOperator offeredLoad;
        boolean down;
        /** The actual capacity of its endpoints as a fraction of the nominal capacity. */
        double speedFactor = 1;

        /** The calls in each time step of the last second. */
        final int[] callsByStep = new int[200];

        final int[] servedByStep = new int[200];
        double peakUtilization;

        SimulatedZone(String name, int endpointCount, int nodeCount, DoubleUnaryOperator offeredLoad) {
            this.name = name;
            this.endpointCount = endpointCount;
            this.nodeCount = nodeCount;
            this.offeredLoad = offeredLoad;
        }

        double capacity() {
            return endpointCount * CAPACITY_PER_ENDPOINT;
        }

        int callsInLastSecond() {
            int total = 0;
            for (int calls : callsByStep) {
                total += calls;
            }
            return total;
        }
    }

    final Map<String, SimulatedZone> zones = new LinkedHashMap<>();
    final List<ZoneSelector> nodes = new ArrayList<>();
    private final List<SimulatedZone> homeZones = new ArrayList<>();
    private final List<Double> fractionalArrivals = new ArrayList<>();
    private final SplittableRandom random;
    private final TestScheduler scheduler = new TestScheduler();
    ZoneLoadAggregator leader = new ZoneLoadAggregator(-ZoneLoadAggregator.GRANT_DURATION, 0.002);
    /** Fraction of the messages to and from the coordinator that are lost. */
    double messageLoss;
    /** Nodes whose messages never reach the coordinator. */
    IntPredicate isolatedFromCoordinators = n -> false;
    /** Time from which peak utilizations are recorded. */
    long peaksMeasuredFrom;

    long now;
    long offeredRequests;
    long servedRequests;
    long unroutableRequests;

    SimulatedFleet(long seed, LocalityRules rules, SimulatedZone... simulatedZones) {
        random = new SplittableRandom(seed);
        List<ZoneEndpoint> endpoints = new ArrayList<>();
        for (SimulatedZone zone : simulatedZones) {
            zones.put(zone.name, zone);
            for (int s = 0; s < zone.endpointCount; s++) {
                endpoints.add(new ZoneEndpoint(zone.name + s, zone.name, 1, 0, true, false));
            }
        }
        int count = zones.values().stream().mapToInt(z -> z.nodeCount).sum();
        for (SimulatedZone zone : simulatedZones) {
            for (int n = 0; n < zone.nodeCount; n++) {
                ZoneSelector node = new ZoneSelector("n" + nodes.size(), zone.name, count, 0.3, 5 * SECOND, true);
                node.updateEndpoints(true, endpoints, 0);
                node.updateRules(rules, 0);
                nodes.add(node);
                homeZones.add(zone);
                fractionalArrivals.add(random.nextDouble());
            }
        }
    }

    void schedule(long time, Runnable action) {
        scheduler.schedule(time, action);
    }

    void runUntil(long end) {
        for (; now < end; now += TIME_STEP) {
            scheduler.runDue(now);
            int step = (int) (now / TIME_STEP % 200);
            zones.values().forEach(z -> {
                z.callsByStep[step] = 0;
                z.servedByStep[step] = 0;
            });
            for (int n = 0; n < nodes.size(); n++) {
                double arrivals = fractionalArrivals.get(n)
                        + homeZones.get(n).offeredLoad.applyAsDouble((double) now / SECOND)
                                / homeZones.get(n).nodeCount
                                * TIME_STEP
                                / SECOND;
                for (; arrivals >= 1; arrivals--) {
                    sendRequest(n, step);
                }
                fractionalArrivals.set(n, arrivals);
                long tick = now / TIME_STEP + n;
                if (tick % (REPORT_INTERVAL / TIME_STEP) == 0) {
                    sendReport(n);
                }
                if (tick % 20 == 0) {
                    nodes.get(n).tick(now);
                }
            }
            for (SimulatedZone z : zones.values()) {
                if (now >= peaksMeasuredFrom) {
                    z.peakUtilization = Math.max(z.peakUtilization, z.callsInLastSecond() / z.capacity());
                }
            }
        }
    }

    private void sendRequest(int nodeIndex, int step) {
        offeredRequests++;
        ZoneSelector node = nodes.get(nodeIndex);
        ZoneSelection selection = node.select("any", null, null, random.nextDouble(), now);
        for (int attempt = 0; attempt < 3 && !selection.zones().isEmpty(); attempt++) {
            SimulatedZone zone = zones.get(
                    selection.zones().get(random.nextInt(selection.zones().size())));
            String endpoint = zone.name + random.nextInt(zone.endpointCount);
            node.onAttemptSent(endpoint, selection, now);
            zone.callsByStep[step]++;
            int servedInLastTenth = 0;
            for (int i = 0; i < 20; i++) {
                servedInLastTenth += zone.servedByStep[(step - i + 200) % 200];
            }
            boolean hasCapacity = servedInLastTenth < zone.capacity() * zone.speedFactor / 10;
            node.onAttemptEnded(
                    endpoint,
                    zone.down ? CallResult.FAILED : hasCapacity ? CallResult.ANSWERED : CallResult.REJECTED,
                    false,
                    now,
                    now);
            if (!zone.down && hasCapacity) {
                zone.servedByStep[step]++;
                servedRequests++;
                return;
            }
            ZoneSelection nextSelection = node.selectNext(selection, now);
            if (nextSelection == selection && !zone.down) {
                return;
            }
            selection = nextSelection;
        }
        unroutableRequests += selection.zones().isEmpty() ? 1 : 0;
    }

    private void sendReport(int nodeIndex) {
        if (leader == null || isolatedFromCoordinators.test(nodeIndex)) {
            return;
        }
        NodeLoadReport report = nodes.get(nodeIndex).loadReport(now);
        long sentAt = now;
        if (random.nextDouble() < messageLoss) {
            return;
        }
        schedule(now + random.nextLong(30 * NANOS_PER_MILLI), () -> {
            if (leader != null) {
                leader.onReport("n" + nodeIndex, report, now);
                FleetView view = leader.viewFor("n" + nodeIndex, nodes.size(), now);
                if (random.nextDouble() >= messageLoss) {
                    schedule(
                            now + random.nextLong(30 * NANOS_PER_MILLI),
                            () -> nodes.get(nodeIndex).onFleetView(view, sentAt, now));
                }
            }
        });
    }

    /** Returns the largest number of priority level transitions at any node. */
    int maxTransitions() {
        return nodes.stream().mapToInt(ZoneSelector::transitions).max().orElse(0);
    }

    double servedFraction() {
        return (double) servedRequests / offeredRequests;
    }

    Map<String, Double> peakUtilizations() {
        Map<String, Double> peaks = new TreeMap<>();
        zones.forEach((name, z) -> peaks.put(name, Math.round(1000 * z.peakUtilization) / 1000.0));
        return peaks;
    }
}
