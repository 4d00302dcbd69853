package weldhitch.client.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The nodes of a client's subset: which of them may get a request, and how the outcomes of requests change that. Times
 * are nanoseconds. Belongs to {@link CallStateMachine}, single-threaded.
 */
final class NodePool {
    /** Upper bound on Retry-After, one hour in nanoseconds; longer values are reduced to it. */
    private static final long MAX_RETRY_AFTER = 3600 * ClientPolicy.SECOND;

    private final ClientPolicy policy;
    private final long clientId;
    private final UniformRandomProvider random;
    private final ReconnectJitter reconnectJitter;
    private final Map<String, NodeState> nodes = new LinkedHashMap<>();

    NodePool(ClientPolicy policy, long clientId, UniformRandomProvider random) {
        this.policy = policy;
        this.clientId = clientId;
        this.random = random;
        reconnectJitter = new ReconnectJitter(policy.minReconnectWindow(), policy.maxReconnectWindow());
    }

    /** Replaces the nodes by this client's subset of these; a node that stays keeps its state. */
    void update(List<String> addresses) {
        List<String> subset = NodeSubset.select(addresses, policy.subsetSize(), clientId);
        nodes.keySet().retainAll(subset);
        subset.forEach(address -> nodes.computeIfAbsent(address, NodeState::new));
    }

    /** Returns the nodes in use, highest-ranked first unless the list of nodes has changed. */
    List<String> addresses() {
        return List.copyOf(nodes.keySet());
    }

    boolean contains(String address) {
        return nodes.containsKey(address);
    }

    boolean isEmpty() {
        return nodes.isEmpty();
    }

    int size() {
        return nodes.size();
    }

    /** Returns whether each node is ejected or being probed. */
    boolean noneIsUp() {
        return nodes.values().stream().allMatch(node -> node.availability != NodeState.Availability.UP);
    }

    /** Returns whether a node is still within its Retry-After. */
    boolean anyWaitsForRetryAfter(long now) {
        return nodes.values().stream().anyMatch(node -> node.retryAfterUntil > now);
    }

    /**
     * Picks the less loaded of two random available nodes (power of two choices), excluding the previous one if there
     * are others; null if none is available.
     *
     * @param eligible whether a node comes into question at all
     * @param previous the node of the last attempt; null if there is none
     */
    NodeState pick(Predicate<NodeState> eligible, NodeState previous, long now) {
        List<NodeState> candidates = new ArrayList<>(nodes.size());
        for (NodeState node : nodes.values()) {
            if (node.availableAt() <= now && node.hasCapacity() && eligible.test(node)) {
                candidates.add(node);
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        if (candidates.size() > 1) {
            candidates.remove(previous);
        }
        NodeState first = candidates.get(random.nextInt(candidates.size()));
        NodeState second = candidates.get(random.nextInt(candidates.size()));
        return second.inFlight < first.inFlight ? second : first;
    }

    /**
     * Returns the earliest time at which an eligible node may get a request; {@code Long.MAX_VALUE} if that depends on
     * probes in flight.
     */
    long earliestAvailable(Predicate<NodeState> eligible) {
        return nodes.values().stream()
                .filter(eligible)
                .mapToLong(NodeState::availableAt)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Records how a request at the node ended.
     *
     * @param retryAfter the wait that a rejection requests, in nanoseconds; 0 for none
     */
    void recordOutcome(NodeState node, AttemptOutcome outcome, long retryAfter, long now) {
        node.inFlight--;
        switch (outcome) {
            case OK -> {
                node.onResponse();
                node.widenWindow();
            }
            case REJECTED -> {
                node.onResponse();
                if (retryAfter > 0) {
                    node.honorRetryAfter(now + boundedRetryAfter(retryAfter));
                }
            }
            case ERROR_RESPONSE -> node.onResponse();
            case STALE_CONNECTION -> {
                // A healthy node may close an idle connection, so this does not count as a failure unless the
                // attempt was the probe.
                if (node.availability == NodeState.Availability.PROBING) {
                    recordFailure(node, now);
                }
            }
            case NOT_SENT, TRANSPORT_ERROR -> recordFailure(node, now);
        }
    }

    /** Counts a failure of the node, and ejects it after too many of them. */
    void recordFailure(NodeState node, long now) {
        if (node.recordFailure(policy.ejectionThreshold())) {
            eject(node, now);
        }
    }

    /** Ejects a node whose last idle connection broke; one with requests in flight is judged by their outcomes. */
    void onConnectionLost(String address, long now) {
        NodeState node = nodes.get(address);
        if (node != null && node.availability == NodeState.Availability.UP && node.inFlight == 0) {
            eject(node, now);
        }
    }

    private void eject(NodeState node, long now) {
        long outage = node.availability == NodeState.Availability.UP ? 0 : now - node.ejectedSince;
        node.eject(now, now + reconnectJitter.nextDelay(outage, random));
    }

    /** Returns the Retry-After in nanoseconds, at least 0 and at most an hour. */
    static long boundedRetryAfter(long retryAfter) {
        return Math.min(MAX_RETRY_AFTER, Math.max(0, retryAfter));
    }
}
