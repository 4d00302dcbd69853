package weldhitch.simulator.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import weldhitch.decision.balancing.DecisionListener;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.PlatformLimits;
import weldhitch.decision.settings.PlatformRules;
import weldhitch.decision.settings.WeightKind;
import weldhitch.fleet.locality.ZoneSelector;
import weldhitch.simulator.cluster.SimNode.RequestOutcome;
import weldhitch.simulator.scenario.Scenario;
import weldhitch.simulator.scenario.Scenario.ClassWorkload;
import weldhitch.simulator.scenario.Scenario.Fault;
import weldhitch.simulator.scenario.Scenario.LoadPoint;
import weldhitch.simulator.scenario.Scenario.ServerGroup;

/**
 * A simulated cluster in virtual time: nodes that each run the real balancer, modelled endpoints and links, and
 * clients that retry. Single-threaded; one seed determines the whole run. The properties of a request (its class,
 * its work, its client's behaviour) depend only on the seed and the request's number, so that two builds or
 * settings are compared over the same requests.
 */
public final class SimCluster {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
    private static final long CLOCK_RESOLUTION = 2 * NANOS_PER_MILLI;
    private static final long ZONE_REFRESH_INTERVAL = 100 * NANOS_PER_MILLI;
    /** Time that a draining server keeps working, and that a node in graceful shutdown keeps answering. */
    private static final long DRAIN_GRACE_PERIOD = 3 * NANOS_PER_SECOND;

    private final Scenario scenario;
    private final RouteTable routes;
    private final long seed;
    private final EventScheduler scheduler = new EventScheduler(1000 * NANOS_PER_SECOND);
    private final long startTime = scheduler.now();
    private final long endTime;
    private final Network network;
    private final UniformRandomProvider setupRandom;
    private final UniformRandomProvider arrivalRandom;
    private final UniformRandomProvider discoveryRandom;
    private final Map<String, SimServer> serversById = new LinkedHashMap<>();
    private final List<SimServer> listedServers = new ArrayList<>();
    private final Map<SimServer, ServerGroup> groupByServer = new LinkedHashMap<>();
    private final List<SimNode> nodes = new ArrayList<>();
    private final List<ZoneSelector> zoneSelectors = new ArrayList<>();
    private final Map<String, List<SimNode>> openNodesByZone = new LinkedHashMap<>();
    private final RunStatistics statistics = new RunStatistics();
    private final Map<String, DecisionListener.DecisionReason> reasonByRequest = new LinkedHashMap<>();
    private final double requestsPerSecond;
    private final double totalTrafficWeight;
    private long nextServerNumber;
    private long nextRequestNumber;

    /**
     * Creates a cluster without routes and without zone routing.
     *
     * @param tap receives every event of the first node; null for none
     */
    public SimCluster(Scenario scenario, long seed, BalancerTap tap) {
        this(scenario, seed, null, tap);
    }

    /**
     * Creates a cluster without zone routing.
     *
     * @param routes active at every node from its start; null for none
     * @param tap receives every event of the first node; null for none
     */
    public SimCluster(Scenario scenario, long seed, RouteTable routes, BalancerTap tap) {
        this(scenario, seed, routes, null, tap);
    }

    /**
     * Creates the cluster and schedules its faults and its first arrival.
     *
     * @param routes active at every node from its start; null for none
     * @param localityConfig how nodes route requests by zone; null for no zone routing
     * @param tap receives every event of the first node; null for none
     */
    public SimCluster(Scenario scenario, long seed, RouteTable routes, LocalityConfig localityConfig, BalancerTap tap) {
        this.routes = routes;
        this.scenario = scenario;
        this.seed = seed;
        endTime = startTime + scenario.duration();
        network = new Network(scheduler, scenario, randomStream(1));
        setupRandom = randomStream(2);
        arrivalRandom = randomStream(3);
        discoveryRandom = randomStream(4);
        for (long second = 0; second <= scenario.duration() / NANOS_PER_SECOND; second++) {
            statistics.bySecond.add(new RunStatistics.RequestStatistics());
        }
        scenario.workloads()
                .forEach(w -> statistics.byClass.put(w.requestClass().name(), new RunStatistics.RequestStatistics()));
        int nextZone = 0;
        for (ServerGroup group : scenario.serverGroups()) {
            for (int i = 0; i < group.count(); i++) {
                listedServers.add(createServer(
                        group,
                        group.zone() != null
                                ? group.zone()
                                : scenario.zones()
                                        .get(nextZone++ % scenario.zones().size()),
                        0));
            }
        }
        double capacity = listedServers.stream().mapToDouble(SimServer::speed).sum();
        totalTrafficWeight = scenario.workloads().stream()
                .mapToDouble(ClassWorkload::trafficWeight)
                .sum();
        double meanWorkSeconds = scenario.workloads().stream()
                .mapToDouble(
                        w -> w.trafficWeight() / totalTrafficWeight * w.work().mean() / NANOS_PER_SECOND)
                .sum();
        requestsPerSecond = scenario.requestsPerSecond() > 0
                ? scenario.requestsPerSecond()
                : scenario.offeredLoad() * capacity / meanWorkSeconds;
        for (int i = 0; i < scenario.nodeCount(); i++) {
            nodes.add(new SimNode(
                    scheduler,
                    network,
                    serversById::get,
                    nodeSettings(i),
                    new ReasonRecorder(),
                    i == 0 ? tap : null,
                    this::recordAttempt));
            nodes.get(i).start(setupRandom.nextLong(), routes, currentEndpoints());
        }
        if (localityConfig != null) {
            enableZoneSelection(localityConfig);
        }
        updateOpenNodes();
        scenario.faults().forEach(this::scheduleFault);
        scheduleNextArrival();
    }

    private void enableZoneSelection(LocalityConfig localityConfig) {
        SimCoordinator coordinator =
                new SimCoordinator(scheduler, randomStream(5), localityConfig.messageLoss(), nodes.size());
        for (int i = 0; i < nodes.size(); i++) {
            BalancerSettings settings = nodeSettings(i);
            ZoneSelector zoneSelector = new ZoneSelector(
                    "n" + i,
                    settings.zone(),
                    settings.nodeCount(),
                    settings.rules().initialCapacity(),
                    settings.rules().slowStartWindow(),
                    localityConfig.coordinated());
            zoneSelector.updateEndpoints(true, SimNode.toZoneEndpoints(currentEndpoints()), scheduler.now());
            zoneSelector.updateRules(localityConfig.rules(), scheduler.now());
            nodes.get(i).selectZonesWith(zoneSelector, randomStream(100 + i));
            zoneSelectors.add(zoneSelector);
            scheduleZoneRefresh(zoneSelector);
            if (localityConfig.coordinated()) {
                coordinator.join("n" + i, zoneSelector);
            }
        }
    }

    private void scheduleZoneRefresh(ZoneSelector zoneSelector) {
        scheduler.schedule(ZONE_REFRESH_INTERVAL, () -> {
            zoneSelector.tick(scheduler.now());
            scheduleZoneRefresh(zoneSelector);
        });
    }

    private UniformRandomProvider randomStream(long stream) {
        return RandomSource.SPLIT_MIX_64.create(seed * 0x9E3779B97F4A7C15L + stream * 0xD1342543DE82EF95L);
    }

    /** Runs to the end of the scenario, and then until every request that is still in flight has ended. */
    public RunStatistics run() {
        long maxDeadline = scenario.workloads().stream()
                .mapToLong(w -> w.requestClass().deadline())
                .max()
                .orElse(0);
        scheduler.runUntil(endTime + 2 * maxDeadline + NANOS_PER_SECOND);
        statistics.maxLevelTransitions =
                zoneSelectors.stream().mapToInt(ZoneSelector::transitions).max().orElse(0);
        return statistics;
    }

    private SimServer createServer(ServerGroup group, String zone, long startedAt) {
        SimServer server = new SimServer(
                scheduler,
                "s-" + Long.toString(nextServerNumber++, 36),
                zone,
                startedAt,
                Math.max(0.01, group.speed().sample(setupRandom)),
                Math.max(1, (int) group.slots().sample(setupRandom)),
                (int) group.queueCapacity().sample(setupRandom),
                group.initialCapacity(),
                group.slowStartWindow());
        serversById.put(server.id, server);
        groupByServer.put(server, group);
        return server;
    }

    private BalancerSettings nodeSettings(int nodeIndex) {
        ServerGroup firstGroup = scenario.serverGroups().get(0);
        long slowStartWindow = scenario.serverGroups().stream()
                .mapToLong(ServerGroup::slowStartWindow)
                .max()
                .orElse(0);
        return new BalancerSettings(
                scenario.zones().get(nodeIndex % scenario.zones().size()),
                scenario.zones(),
                scenario.tier(),
                nodeIndex,
                scenario.nodeCount(),
                scenario.workloads().stream().map(ClassWorkload::requestClass).toList(),
                List.of(),
                1,
                false,
                false,
                WeightKind.NONE,
                List.of(),
                scenario.crossZoneCost(),
                CLOCK_RESOLUTION,
                new PlatformLimits(
                        scenario.maxAttempts(),
                        scenario.hedgingAllowed(),
                        true,
                        false,
                        true,
                        1500 * NANOS_PER_MILLI,
                        150 * NANOS_PER_MILLI),
                new PlatformRules(
                        firstGroup.initialCapacity(),
                        slowStartWindow,
                        3,
                        3 * NANOS_PER_SECOND,
                        2 * NANOS_PER_SECOND,
                        8 * NANOS_PER_MILLI,
                        10 * NANOS_PER_SECOND));
    }

    private static EndpointEntry toEndpointEntry(SimServer server, EndpointState state) {
        return new EndpointEntry(server.id, server.zone, 0, state, 1, server.startedAt);
    }

    private List<EndpointEntry> currentEndpoints() {
        return listedServers.stream()
                .map(s -> toEndpointEntry(s, EndpointState.READY))
                .toList();
    }

    private void recordAttempt(String endpointId, boolean crossZone) {
        statistics.attemptsByServer.merge(endpointId, 1L, Long::sum);
        statistics
                .attemptsByZone
                .computeIfAbsent(serversById.get(endpointId).zone, z -> new long[statistics.bySecond.size()])[
                (int) Math.min(statistics.bySecond.size() - 1, (scheduler.now() - startTime) / NANOS_PER_SECOND)]++;
        statistics.total.nodeAttempts++;
        statistics.crossZoneAttempts += crossZone ? 1 : 0;
        currentSecond().nodeAttempts++;
    }

    private RunStatistics.RequestStatistics currentSecond() {
        return statistics.bySecond.get(
                (int) Math.min(statistics.bySecond.size() - 1, (scheduler.now() - startTime) / NANOS_PER_SECOND));
    }

    /**
     * Records the last decision reason of each request other than its admission or queueing. It is read when the
     * request is rejected or fails.
     */
    private final class ReasonRecorder implements DecisionListener {
        @Override
        public void onPick(PickTrace trace) {}

        @Override
        public void onDecision(long at, String requestId, DecisionReason reason) {
            if (reason != DecisionReason.ADMITTED && reason != DecisionReason.QUEUED) {
                reasonByRequest.put(requestId, reason);
            }
        }
    }

    private void scheduleAt(long offset, Runnable task) {
        scheduler.schedule(startTime + offset - scheduler.now(), task);
    }

    private void publishState(SimServer server, EndpointState state) {
        for (SimNode node : nodes) {
            scheduler.schedule(
                    (long) scenario.discoveryDelay().sample(discoveryRandom),
                    () -> node.onUpdate(List.of(toEndpointEntry(server, state))));
        }
    }

    private List<SimServer> selectServers(Fault fault) {
        List<SimServer> candidates = listedServers.stream()
                .filter(s -> fault.zone() == null || s.zone.equals(fault.zone()))
                .toList();
        int count = fault.serverCount() < 0
                ? (int) Math.ceil(-fault.serverCount() / 1000.0 * candidates.size())
                : fault.serverCount();
        return List.copyOf(candidates.subList(0, Math.min(count, candidates.size())));
    }

    private void scheduleFault(Fault fault) {
        scheduleAt(fault.offset(), () -> {
            switch (fault.type()) {
                case STALL -> applyForDuration(fault, s -> s.setStalled(true), s -> s.setStalled(false));
                case FULL -> applyForDuration(fault, s -> s.rejectsAll = true, s -> s.rejectsAll = false);
                case SLOW -> applyForDuration(fault, s -> s.setSlowdown(fault.slowdown()), s -> s.setSlowdown(1));
                case ERRORS -> applyForDuration(fault, s -> s.failsFast = true, s -> s.failsFast = false);
                case SILENT ->
                    selectServers(fault).forEach(s -> {
                        s.goSilent();
                        scheduler.schedule(fault.duration(), () -> replaceServer(s));
                    });
                case RELEASE -> rollServers(fault);
                case RESTART_NODE -> restartNode(nodes.get(fault.nodeIndex()), fault.duration());
                case CUT_ZONE -> {
                    network.setPartitioned(fault.zone(), true);
                    scheduler.schedule(fault.duration(), () -> network.setPartitioned(fault.zone(), false));
                }
            }
        });
    }

    private void applyForDuration(
            Fault fault, java.util.function.Consumer<SimServer> apply, java.util.function.Consumer<SimServer> revert) {
        List<SimServer> affected = selectServers(fault);
        affected.forEach(apply);
        scheduler.schedule(fault.duration(), () -> affected.forEach(revert));
    }

    /** Replaces a server by a new one of its group and zone, which begins with a slow start. */
    private void replaceServer(SimServer old) {
        old.stopped = true;
        listedServers.remove(old);
        publishState(old, EndpointState.REMOVED);
        SimServer replacement = createServer(groupByServer.remove(old), old.zone, scheduler.now());
        listedServers.add(replacement);
        publishState(replacement, EndpointState.READY);
    }

    /**
     * Replaces the servers one after another: each starts to drain and is removed {@link #DRAIN_GRACE_PERIOD} later.
     * The time from the start of the drain to the start of the replacement is the fault's duration.
     */
    private void rollServers(Fault fault) {
        List<SimServer> affected = selectServers(fault);
        for (int i = 0; i < affected.size(); i++) {
            SimServer old = affected.get(i);
            scheduler.schedule(i * fault.interval(), () -> {
                old.draining = true;
                listedServers.remove(old);
                publishState(old, EndpointState.DRAINING);
                scheduler.schedule(DRAIN_GRACE_PERIOD, () -> {
                    old.stopped = true;
                    publishState(old, EndpointState.REMOVED);
                });
                scheduler.schedule(fault.duration(), () -> {
                    SimServer replacement = createServer(groupByServer.get(old), old.zone, scheduler.now());
                    listedServers.add(replacement);
                    publishState(replacement, EndpointState.READY);
                });
            });
        }
    }

    /**
     * Updates the nodes that accept requests. The front end distributes the requests of a zone over its open nodes,
     * or over all open nodes (key null) if the zone has none.
     */
    private void updateOpenNodes() {
        openNodesByZone.clear();
        openNodesByZone.put(null, nodes.stream().filter(n -> n.acceptsRequests).toList());
        for (SimNode node : openNodesByZone.get(null)) {
            openNodesByZone.computeIfAbsent(node.zone(), z -> new ArrayList<>()).add(node);
        }
    }

    /** Stops accepting requests, answers those in flight, stops the node, and starts it again without any state. */
    private void restartNode(SimNode node, long downtime) {
        node.acceptsRequests = false;
        updateOpenNodes();
        long restartAfter = Math.max(downtime, DRAIN_GRACE_PERIOD + 500 * NANOS_PER_MILLI);
        scheduler.schedule(Math.min(downtime, DRAIN_GRACE_PERIOD + 500 * NANOS_PER_MILLI), node::stop);
        scheduler.schedule(restartAfter + NANOS_PER_MILLI, () -> {
            node.start(setupRandom.nextLong(), routes, currentEndpoints());
            updateOpenNodes();
        });
    }

    /**
     * Returns the current load factor of a class, or of all classes for null. It is interpolated linearly between
     * the curve points around this time.
     */
    private double loadFactor(String requestClass) {
        long elapsed = scheduler.now() - startTime;
        LoadPoint previous = null;
        for (LoadPoint point : scenario.loadCurve()) {
            if (point.requestClass() == null
                    ? requestClass != null
                    : !point.requestClass().equals(requestClass)) {
                continue;
            }
            if (point.offset() > elapsed) {
                if (previous == null) {
                    return point.factor();
                }
                double fraction = (double) (elapsed - previous.offset()) / (point.offset() - previous.offset());
                return previous.factor() + fraction * (point.factor() - previous.factor());
            }
            previous = point;
        }
        return previous == null ? 1 : previous.factor();
    }

    private double currentTrafficWeight(ClassWorkload workload) {
        return workload.trafficWeight()
                / totalTrafficWeight
                * loadFactor(workload.requestClass().name())
                * loadFactor(null);
    }

    private void scheduleNextArrival() {
        double totalWeight = 0;
        for (ClassWorkload workload : scenario.workloads()) {
            totalWeight += currentTrafficWeight(workload);
        }
        double requestsPerNano = Math.max(1e-9, totalWeight) * requestsPerSecond / NANOS_PER_SECOND;
        long gap = (long) (-Math.log(1 - arrivalRandom.nextDouble()) / requestsPerNano);
        // At a load near 0 the gap is very long: check again after a second, because the load may have risen.
        long delay = Math.min(gap, NANOS_PER_SECOND);
        scheduler.schedule(delay, () -> {
            if (scheduler.now() < endTime) {
                if (delay == gap) {
                    startRequest();
                }
                scheduleNextArrival();
            }
        });
    }

    private void startRequest() {
        UniformRandomProvider requestRandom = randomStream(1000 + nextRequestNumber);
        double totalWeight = 0;
        for (ClassWorkload workload : scenario.workloads()) {
            totalWeight += currentTrafficWeight(workload);
        }
        double remainingWeight = requestRandom.nextDouble() * totalWeight;
        ClassWorkload chosenWorkload =
                scenario.workloads().get(scenario.workloads().size() - 1);
        for (ClassWorkload workload : scenario.workloads()) {
            if (remainingWeight < currentTrafficWeight(workload)) {
                chosenWorkload = workload;
                break;
            }
            remainingWeight -= currentTrafficWeight(workload);
        }
        new SimClient(chosenWorkload, requestRandom).sendAttempt();
    }

    /** The client of one request: sends it, retries with backoff, and counts the outcome. */
    private final class SimClient {
        final ClassWorkload workload;
        final List<RunStatistics.RequestStatistics> counters;
        final UniformRandomProvider requestRandom;
        final long requestNumber = nextRequestNumber++;
        final long arrivedAt = scheduler.now();
        final long deadline;
        final double work;
        final long externalWaitNanos;
        final long backoff;
        final String zone;
        /** Whether it waits for the Retry-After time of a rejection before it retries. */
        final boolean honoursRetryAfter;

        long retryDelay;
        int attemptCount;
        boolean done;

        SimClient(ClassWorkload workload, UniformRandomProvider requestRandom) {
            this.workload = workload;
            this.requestRandom = requestRandom;
            counters = List.of(
                    statistics.total,
                    currentSecond(),
                    statistics.byClass.get(workload.requestClass().name()));
            deadline = arrivedAt + workload.requestClass().deadline();
            work = workload.work().sample(requestRandom);
            externalWaitNanos = (long) workload.externalWait().sample(requestRandom);
            backoff = requestRandom.nextInt(3) == 0 ? 0 : scenario.backoff();
            retryDelay = backoff;
            honoursRetryAfter = requestRandom.nextDouble() < scenario.honoursRetryAfterProbability();
            zone = scenario.zones().get(requestRandom.nextInt(scenario.zones().size()));
            counters.forEach(c -> {
                c.offered++;
                c.weightOffered += workload.requestClass().priorityWeight();
            });
        }

        void sendAttempt() {
            attemptCount++;
            counters.forEach(c -> c.clientAttempts++);
            List<SimNode> openNodes = openNodesByZone.getOrDefault(zone, openNodesByZone.get(null));
            if (openNodes.isEmpty()) {
                retryOrFinish(true, RequestOutcome.FAILED);
                return;
            }
            SimNode node = openNodes.get(requestRandom.nextInt(openNodes.size()));
            String requestId = String.format("%016x", (requestNumber * 32 + attemptCount) * 0x9E3779B97F4A7C15L);
            boolean idempotent = workload.requestClass().idempotency() == Idempotency.IDEMPOTENT;
            long attemptDeadline = idempotent
                    ? Math.min(
                            deadline,
                            scheduler.now()
                                    + (long) (scenario.attemptTimeoutFraction()
                                            * workload.requestClass().deadline()))
                    : deadline;
            int attemptNumber = attemptCount;
            RequestArrived arrival = new RequestArrived(
                    requestId,
                    workload.requestClass().name(),
                    attemptDeadline,
                    null,
                    0,
                    attemptNumber > 1,
                    idempotent ? "GET" : "POST",
                    "/" + workload.requestClass().name());
            node.dispatch(
                    arrival,
                    workload.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT,
                    new SimCall(workload.requestClass().name(), work, externalWaitNanos),
                    (outcome, retryAfter) -> {
                        DecisionListener.DecisionReason reason = reasonByRequest.remove(requestId);
                        if (outcome != RequestOutcome.SERVED) {
                            statistics.unservedByCause.merge(
                                    (outcome == RequestOutcome.REJECTED ? "refused: " : "failed: ")
                                            + (reason == null ? "unknown" : reason.label()),
                                    1L,
                                    Long::sum);
                        }
                        if (attemptNumber == attemptCount && !done) {
                            onResponse(outcome, retryAfter);
                        }
                    });
            scheduler.schedule(attemptDeadline - scheduler.now(), () -> {
                if (attemptNumber == attemptCount && !done) {
                    node.clientDisconnected(requestId);
                    reasonByRequest.remove(requestId);
                    retryOrFinish(false, RequestOutcome.FAILED);
                }
            });
        }

        private void onResponse(RequestOutcome outcome, long retryAfter) {
            if (outcome == RequestOutcome.SERVED) {
                done = true;
                long latency = scheduler.now() - arrivedAt;
                boolean inTime = latency <= workload.requestClass().latencyObjective();
                counters.forEach(c -> {
                    c.inTime += inTime ? 1 : 0;
                    c.late += inTime ? 0 : 1;
                    c.weightServed += workload.requestClass().priorityWeight()
                            * (inTime ? 1 : workload.requestClass().lateWeight());
                    c.recordLatency(latency);
                });
            } else {
                retryDelay = honoursRetryAfter ? Math.max(backoff, retryAfter) : backoff;
                retryOrFinish(false, outcome);
            }
        }

        private void retryOrFinish(boolean unreachable, RequestOutcome outcome) {
            if (attemptCount > scenario.maxRetries()
                    || scheduler.now() + retryDelay >= deadline
                    || outcome == RequestOutcome.FAILED
                            && !unreachable
                            && workload.requestClass().idempotency() != Idempotency.IDEMPOTENT) {
                done = true;
                counters.forEach(c -> {
                    c.unreachable += unreachable ? 1 : 0;
                    c.rejected += !unreachable && outcome == RequestOutcome.REJECTED ? 1 : 0;
                    c.failed += !unreachable && outcome == RequestOutcome.FAILED ? 1 : 0;
                });
            } else {
                scheduler.schedule(retryDelay, this::sendAttempt);
            }
        }
    }
}
