package weldhitch.client.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
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

    /** Forgets the statements of all other nodes. */
    void retainNodes(Collection<String> nodes) {
        scopesByClassAndNode.values().forEach(scopes -> scopes.keySet().retainAll(nodes));
    }

    /**
     * Returns whether all servers are known to discard a repeat of a request of this class. While nodes contradict each
     * other, as during a change of their settings, the narrower scope counts.
     */
    boolean coversAllServers(String requestClass) {
        Collection<StatedDeduplicationScope> stated =
                scopesByClassAndNode.getOrDefault(requestClass, Map.of()).values();
        return stated.isEmpty()
                ? declaredClasses.contains(requestClass)
                : stated.stream().allMatch(scope -> scope == StatedDeduplicationScope.ALL_SERVERS);
    }
}
