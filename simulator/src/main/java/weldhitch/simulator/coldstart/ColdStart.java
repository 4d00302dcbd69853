package weldhitch.simulator.coldstart;

import java.util.SplittableRandom;
import weldhitch.decision.discovery.DiscoveryPolling;
import weldhitch.decision.discovery.DiscoveryPolling.PollFailure;
import weldhitch.fleet.turns.PollSlots;
import weldhitch.simulator.cluster.EventScheduler;

/**
 * Simulates many nodes that start within a second and poll one discovery service for the endpoint list, with the
 * decisions of a real node ({@link DiscoveryPolling}). The service may be down at first, and a second start may
 * follow the first. Single-threaded.
 */
public final class ColdStart {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Wait that a node with a list requests under {@link PollPacing#LOCAL_AGENT}, in nanoseconds. */
    private static final long MIN_WATCH = 2 * NANOS_PER_SECOND;

    private static final long MAX_POLL_INTERVAL = 10 * NANOS_PER_SECOND;
    private static final long FIRST_POLL_SPREAD_PER_NODE = 50 * NANOS_PER_MILLI;
    /** Longest time until a coordinator first responds after a node's start, in nanoseconds. */
    private static final long MAX_FIRST_COORDINATOR_DELAY = 50 * NANOS_PER_MILLI;
    /** Longest time until a coordinator responds later, because it may delay its response to a heartbeat; in ns. */
    private static final long MAX_COORDINATOR_DELAY = 500 * NANOS_PER_MILLI;

    /** How nodes pace their polls. */
    public enum PollPacing {
        /** Paced for a service that all nodes share. */
        SHARED_SERVICE,
        /** Paced for a local agent of each node; earlier builds polled a shared service in this way too. */
        LOCAL_AGENT,
        /** Paced for a shared service, by poll slots that coordinators grant. */
        POLL_SLOTS
    }

    /**
     * The parameters of a simulation. Immutable.
     *
     * @param pollsPerSecond polls without a list in the response that the service can answer per second
     * @param linesPerSecond lines of lists that it can write per second if it does nothing else
     * @param maxQueueLength number of queued polls beyond which it rejects
     * @param maxQueueLength number of queued polls from which on it rejects further polls
     * @param silentOutage whether it is unresponsive while it is down, instead of refusing connections
     * @param restartAtSeconds seconds after which all nodes restart; 0 for never
     * @param durationSeconds length of the simulation in seconds
     */
    public record Plan(
            int nodeCount,
            int listSize,
            double pollsPerSecond,
            double linesPerSecond,
            int maxQueueLength,
            double outageSeconds,
            boolean silentOutage,
            double restartAtSeconds,
            double durationSeconds) {}

    /**
     * The measurements of a simulation. Immutable.
     *
     * @param peakPolls maximum number of polls in any tenth of a second
     * @param peakPollsAfterOutage the same, from the later of the end of the outage and the restart
     * @param peakFullListPolls maximum number of polls for a complete list in any tenth of a second
     * @param polls total number of polls
     * @param linesWritten total number of lines written
     * @param secondsToFullCoverage seconds from the later of the restart of all nodes and the end of the outage until
     *     every node had a list; infinite if some node never did
     * @param steadyPollsPerSecond polls per second over the last five seconds
     * @param peakQueueLength maximum number of polls queued at the service
     */
    public record Result(
            long peakPolls,
            long peakPollsAfterOutage,
            long peakFullListPolls,
            long polls,
            long linesWritten,
            double secondsToFullCoverage,
            double steadyPollsPerSecond,
            int peakQueueLength) {}

    private final Plan plan;
    private final PollPacing pacing;
    private final EventScheduler scheduler = new EventScheduler(0);
    private final DiscoveryService service;
    private final PollingNode[] nodes;
    private final PollSlots pollSlots = new PollSlots();
    private final BucketedCounter fullListPolls = new BucketedCounter();
    private int nextNodeNumber;
    private final SplittableRandom random;
    private long fullCoverageAt = -1;
    private int nodesWithList;

    private ColdStart(Plan plan, PollPacing pacing, long seed) {
        this.plan = plan;
        this.pacing = pacing;
        random = new SplittableRandom(seed);
        service = new DiscoveryService(
                scheduler,
                new DiscoveryService.Capacity(
                        (long) (NANOS_PER_SECOND / plan.pollsPerSecond),
                        (long) (NANOS_PER_SECOND / plan.linesPerSecond),
                        plan.maxQueueLength),
                plan.listSize,
                plan.silentOutage
                        ? DiscoveryService.OutageMode.SILENT
                        : DiscoveryService.OutageMode.REFUSES_CONNECTIONS);
        nodes = new PollingNode[plan.nodeCount];
    }

    /** Runs a simulation; the result is determined by plan, pacing and seed. */
    public static Result run(Plan plan, PollPacing pacing, long seed) {
        return new ColdStart(plan, pacing, seed).simulate();
    }

    private Result simulate() {
        if (plan.outageSeconds > 0) {
            service.startOutage();
            scheduler.schedule((long) (plan.outageSeconds * NANOS_PER_SECOND), service::endOutage);
        }
        startNodes();
        if (plan.restartAtSeconds > 0) {
            scheduler.schedule((long) (plan.restartAtSeconds * NANOS_PER_SECOND), this::startNodes);
        }
        long end = (long) (plan.durationSeconds * NANOS_PER_SECOND);
        scheduler.runUntil(end);
        double measuredFrom = Math.max(plan.restartAtSeconds > 0 ? plan.restartAtSeconds : 0, plan.outageSeconds);
        return new Result(
                service.polls.peak(0),
                service.polls.peak((long) (measuredFrom * NANOS_PER_SECOND)),
                fullListPolls.peak(0),
                service.polls.sumBetween(0, end),
                service.linesWritten.sumBetween(0, end),
                fullCoverageAt < 0 ? Double.POSITIVE_INFINITY : fullCoverageAt / 1e9 - measuredFrom,
                service.polls.sumBetween(end - 5 * NANOS_PER_SECOND, end) / 5.0,
                service.peakQueueLength);
    }

    /** Starts all nodes within a second, without any state, and stops those that ran before. */
    private void startNodes() {
        nodesWithList = 0;
        fullCoverageAt = -1;
        for (int i = 0; i < nodes.length; i++) {
            if (nodes[i] != null) {
                nodes[i].stopped = true;
            }
            PollingNode node = new PollingNode(random.nextLong());
            nodes[i] = node;
            scheduler.schedule((long) (random.nextDouble() * NANOS_PER_SECOND), node::start);
        }
    }

    /** One node, which polls the service as the discovery client of a real node does. */
    private final class PollingNode {
        final DiscoveryPolling polling;
        private final String name = "n" + nextNodeNumber++;
        private boolean stopped;
        private boolean hasList;
        private long currentPoll;

        PollingNode(long seed) {
            polling = pacing != PollPacing.LOCAL_AGENT
                    ? DiscoveryPolling.ofSharedService(seed, plan.nodeCount, MAX_POLL_INTERVAL)
                    : new DiscoveryPolling(seed, plan.nodeCount);
        }

        void start() {
            if (pacing == PollPacing.POLL_SLOTS) {
                scheduler.schedule((long) (random.nextDouble() * MAX_FIRST_COORDINATOR_DELAY), () -> pollInSlot(0));
                return;
            }
            // The same spread as for the first polls of the nodes in a real fleet.
            scheduler.schedule(
                    (long) (random.nextDouble()
                            * Math.min(0.4 * MAX_POLL_INTERVAL, plan.nodeCount * FIRST_POLL_SPREAD_PER_NODE)),
                    this::poll);
        }

        private void pollInSlot(long notBefore) {
            scheduler.schedule(pollSlots.assign(name, scheduler.now(), notBefore), this::poll);
        }

        private void poll() {
            if (stopped) {
                return;
            }
            long thisPoll = ++currentPoll;
            if (!hasList) {
                fullListPolls.add(scheduler.now(), 1);
            }
            long watchNanos = !hasList ? 0 : pacing != PollPacing.LOCAL_AGENT ? polling.requestedWait() : MIN_WATCH;
            long expectedAt = scheduler.now() + watchNanos;
            scheduler.schedule(watchNanos + polling.responseTimeout(), () -> {
                if (!stopped && thisPoll == currentPoll) {
                    onFailure(PollFailure.TIMED_OUT);
                }
            });
            service.poll(
                    !hasList,
                    watchNanos,
                    result -> scheduler.schedule(NANOS_PER_MILLI, () -> {
                        if (!stopped && thisPoll == currentPoll) {
                            onResult(result, expectedAt);
                        }
                    }));
        }

        private void onResult(DiscoveryService.PollResult result, long expectedAt) {
            switch (result) {
                case CONNECTION_FAILED -> onFailure(PollFailure.CONNECTION_FAILED);
                case REJECTED -> onFailure(PollFailure.REJECTED);
                case LIST, NOT_MODIFIED -> {
                    currentPoll++;
                    polling.recordSuccess(scheduler.now() - expectedAt);
                    if (!hasList) {
                        hasList = true;
                        if (++nodesWithList == nodes.length) {
                            fullCoverageAt = scheduler.now();
                        }
                    }
                    scheduler.schedule(polling.pauseBetweenPolls(), this::poll);
                }
            }
        }

        private void onFailure(PollFailure failure) {
            currentPoll++;
            long ownBackoff = polling.recordFailure(failure);
            long coordinatorDelay = (long) (random.nextDouble() * MAX_COORDINATOR_DELAY);
            if (pacing == PollPacing.POLL_SLOTS && !polling.overloaded() && coordinatorDelay < ownBackoff) {
                scheduler.schedule(coordinatorDelay, () -> pollInSlot(ownBackoff - coordinatorDelay));
            } else {
                scheduler.schedule(ownBackoff, this::poll);
            }
        }
    }
}
