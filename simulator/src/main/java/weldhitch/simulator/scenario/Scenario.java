package weldhitch.simulator.scenario;

import java.util.List;
import weldhitch.decision.settings.RequestClass;

/**
 * A scenario that the simulator runs, as read from a file. Immutable. Durations and times are in nanoseconds, times
 * from the start.
 *
 * @param duration duration of the measured part; after it, clients send no new requests, and those in flight end
 * @param tier the tier of the nodes; only nodes of tier 0, the first, limit admission
 * @param discoveryDelay time until a node learns of a change of the endpoint list
 * @param hedgingAllowed whether hedged requests are allowed
 * @param maxAttempts maximum number of attempts of a node for one request
 * @param crossZoneCost the balancer's cost of a request to another zone
 * @param sameZoneDelay one-way network delay within a zone
 * @param crossZoneDelay one-way network delay between zones
 * @param messageLoss fraction of messages that are lost
 * @param offeredLoad client requests, not counting retries, as a fraction of the servers' total capacity; used if
 *     {@code requestsPerSecond} is 0
 * @param requestsPerSecond client requests per second, not counting retries, at load factor 1; 0 to use
 *     {@code offeredLoad}
 * @param maxRetries maximum number of retries of one client
 * @param attemptTimeoutFraction timeout of one client attempt of an idempotent request, as a fraction of its deadline
 * @param backoff time that a client waits before a retry; a third of the clients do not wait
 * @param honoursRetryAfterProbability fraction of clients that honour Retry-After
 */
public record Scenario(
        String name,
        long duration,
        List<String> zones,
        int nodeCount,
        int tier,
        Distribution discoveryDelay,
        boolean hedgingAllowed,
        int maxAttempts,
        double crossZoneCost,
        Distribution sameZoneDelay,
        Distribution crossZoneDelay,
        double messageLoss,
        List<ServerGroup> serverGroups,
        List<ClassWorkload> workloads,
        double offeredLoad,
        double requestsPerSecond,
        int maxRetries,
        double attemptTimeoutFraction,
        long backoff,
        double honoursRetryAfterProbability,
        List<LoadPoint> loadCurve,
        List<Fault> faults) {
    /** Makes unmodifiable copies of the lists. */
    public Scenario {
        zones = List.copyOf(zones);
        serverGroups = List.copyOf(serverGroups);
        workloads = List.copyOf(workloads);
        loadCurve = List.copyOf(loadCurve);
        faults = List.copyOf(faults);
    }

    /**
     * A group of servers with the same settings; work takes {@code 1 / speed} of its nominal time.
     *
     * @param zone null to spread them over all zones
     * @param initialCapacity fraction of its speed that a server has when it starts
     * @param slowStartWindow duration of the slow start in nanoseconds
     */
    public record ServerGroup(
            int count,
            String zone,
            Distribution speed,
            Distribution slots,
            Distribution queueCapacity,
            double initialCapacity,
            long slowStartWindow) {}

    /**
     * The workload of one request class.
     *
     * @param trafficWeight its share of the traffic, relative to the other classes
     * @param work nanoseconds on a core of speed 1
     * @param externalWait nanoseconds that a request waits for other services
     */
    public record ClassWorkload(
            RequestClass requestClass, double trafficWeight, Distribution work, Distribution externalWait) {}

    /**
     * A point of the load curve, which is interpolated linearly between two points.
     *
     * @param factor multiple of the base load
     * @param requestClass null for all classes
     */
    public record LoadPoint(long offset, double factor, String requestClass) {}

    /** The types of faults; their names are those used in scenario files. */
    public enum FaultType {
        STALL,
        FULL,
        SLOW,
        ERRORS,
        SILENT,
        RELEASE,
        RESTART_NODE,
        CUT_ZONE
    }

    /**
     * A fault that the scenario injects.
     *
     * @param duration duration of the fault in nanoseconds
     * @param serverCount number of affected servers of the zone; if negative, their fraction in thousandths
     * @param zone null for all zones
     * @param slowdown factor by which a {@code SLOW} fault slows its servers down
     * @param interval interval between two servers of a release, in nanoseconds
     */
    public record Fault(
            long offset,
            FaultType type,
            long duration,
            int serverCount,
            String zone,
            int nodeIndex,
            double slowdown,
            long interval) {}

    /**
     * Returns a copy of another size, with the same load per server.
     *
     * @param newNodeCount number of nodes; 0 to leave it as it is
     * @param newServerCount total number of servers, to which all groups are scaled; 0 to leave it as it is
     */
    public Scenario withSize(int newNodeCount, int newServerCount) {
        int serverCount = serverGroups.stream().mapToInt(ServerGroup::count).sum();
        List<ServerGroup> scaledGroups = newServerCount <= 0
                ? serverGroups
                : serverGroups.stream()
                        .map(group -> new ServerGroup(
                                Math.max(1, (int) Math.round((double) group.count * newServerCount / serverCount)),
                                group.zone,
                                group.speed,
                                group.slots,
                                group.queueCapacity,
                                group.initialCapacity,
                                group.slowStartWindow))
                        .toList();
        double scale =
                (double) scaledGroups.stream().mapToInt(ServerGroup::count).sum() / serverCount;
        return new Scenario(
                name,
                duration,
                zones,
                newNodeCount > 0 ? newNodeCount : nodeCount,
                tier,
                discoveryDelay,
                hedgingAllowed,
                maxAttempts,
                crossZoneCost,
                sameZoneDelay,
                crossZoneDelay,
                messageLoss,
                scaledGroups,
                workloads,
                offeredLoad,
                requestsPerSecond * scale,
                maxRetries,
                attemptTimeoutFraction,
                backoff,
                honoursRetryAfterProbability,
                loadCurve,
                faults);
    }

    /** Returns a copy with another duration, in nanoseconds. */
    public Scenario withDuration(long nanos) {
        return new Scenario(
                name,
                nanos,
                zones,
                nodeCount,
                tier,
                discoveryDelay,
                hedgingAllowed,
                maxAttempts,
                crossZoneCost,
                sameZoneDelay,
                crossZoneDelay,
                messageLoss,
                serverGroups,
                workloads,
                offeredLoad,
                requestsPerSecond,
                maxRetries,
                attemptTimeoutFraction,
                backoff,
                honoursRetryAfterProbability,
                loadCurve,
                faults);
    }
}
