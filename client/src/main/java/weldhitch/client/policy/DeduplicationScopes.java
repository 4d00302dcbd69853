package weldhitch.client.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is known about the deduplication scopes of request classes: the latest statement of each node, and the classes
 * that the caller's policy declares for as long as no node has stated their scope. Belongs to {@link CallStateMachine},
 * single-threaded.
 */
final class DeduplicationScopes {
    private final Set<String> declaredClasses;
    private final Map<String, Map<String, StatedDeduplicationScope>> scopesByClassAndNode = new LinkedHashMap<>();
    private List<String> nodes = List.of();

    /**
     * Creates an instance without statements.
     *
     * @param declaredClasses the request classes whose repeats all servers discard according to the caller
     */
    DeduplicationScopes(Set<String> declaredClasses) {
        this.declaredClasses = declaredClasses;
    }

    /** Records what a node has stated about a request class; replaces its earlier statement. */
    void record(String node, String requestClass, StatedDeduplicationScope scope) {
        scopesByClassAndNode
                .computeIfAbsent(requestClass, c -> new LinkedHashMap<>())
                .put(node, scope);
    }

    /** Replaces the nodes in use; forgets the statements of all others. */
    void updateNodes(List<String> addresses) {
        nodes = addresses;
        scopesByClassAndNode.values().forEach(scopes -> scopes.keySet().retainAll(nodes));
    }

    /**
     * Returns whether all servers are known to discard a repeat of a request of this class. While nodes contradict each
     * other, as during a change of their settings, the narrower scope counts.
     */
    boolean coversAllServers(String requestClass) {
        return isStated(requestClass)
                ? !isStated(requestClass, StatedDeduplicationScope.LIMITED)
                : declaredClasses.contains(requestClass);
    }

    /** Returns whether the scope of the class is unknown, and a query may change that. */
    boolean mayBecomeKnown(String requestClass) {
        return !isStated(requestClass)
                && !declaredClasses.contains(requestClass)
                && nodes.stream().anyMatch(node -> mayBeQueried(node, requestClass));
    }

    /** Returns whether the node has not shown yet whether it states the scope of the class. */
    boolean mayBeQueried(String node, String requestClass) {
        return !scopesByClassAndNode.getOrDefault(requestClass, Map.of()).containsKey(node);
    }

    private boolean isStated(String requestClass) {
        return isStated(requestClass, StatedDeduplicationScope.ALL_SERVERS)
                || isStated(requestClass, StatedDeduplicationScope.LIMITED);
    }

    private boolean isStated(String requestClass, StatedDeduplicationScope scope) {
        return scopesByClassAndNode.getOrDefault(requestClass, Map.of()).containsValue(scope);
    }
}
