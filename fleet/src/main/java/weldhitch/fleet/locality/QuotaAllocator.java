package weldhitch.fleet.locality;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Splits the unused capacity of a zone among the nodes that request it, so that the total rate that they may send at
 * any time never exceeds this capacity, even if grants are lost, duplicated or late. To ensure this, a grant counts
 * until it has certainly expired at its node, and a grant that replaces it counts in addition until then. Owned by the
 * leading coordinator's {@link ZoneLoadAggregator}. Not thread-safe.
 */
public final class QuotaAllocator {
    /** A grant to one node for one zone: calls per second, and the expiry time by this clock. */
    private record IssuedGrant(double callsPerSecond, long expiresAt) {}

    private final long grantDuration;
    private final ReplacedGrants replacedGrants;
    /** The issued grants by zone and node. */
    private final Map<String, Map<String, List<IssuedGrant>>> issuedGrants = new TreeMap<>();

    private final Map<String, Map<String, Double>> demandByZone = new TreeMap<>();

    /**
     * Creates an allocator without grants.
     *
     * @param grantDuration how long a grant may be used at most after it was issued, in nanoseconds of this clock
     */
    public QuotaAllocator(long grantDuration) {
        this(grantDuration, ReplacedGrants.COUNTED_UNTIL_EXPIRY);
    }

    /** Creates an allocator without grants that uses the given policy for replaced ones. */
    QuotaAllocator(long grantDuration, ReplacedGrants replacedGrants) {
        this.grantDuration = grantDuration;
        this.replacedGrants = replacedGrants;
    }

    /** Sets the rate that a node requests for a zone, in calls per second; 0 for none. */
    public void updateDemand(String node, String zone, double callsPerSecond) {
        Map<String, Double> demandByNode = demandByZone.computeIfAbsent(zone, name -> new TreeMap<>());
        if (callsPerSecond > 0) {
            demandByNode.put(node, callsPerSecond);
        } else {
            demandByNode.remove(node);
        }
    }

    /** Removes a node; its grants expire by themselves. */
    public void removeNode(String node) {
        demandByZone.values().forEach(demandByNode -> demandByNode.remove(node));
    }

    /**
     * Issues a grant: the rate that the node may send to the zone from now on, for at most {@code grantDuration}.
     *
     * @param headroom the rate that the zone can serve in addition to its own load, from all nodes together, in calls
     *     per second
     * @return calls per second, 0 for none
     */
    public double grant(String node, String zone, double headroom, long now) {
        Map<String, List<IssuedGrant>> grantsByNode = issuedGrants.computeIfAbsent(zone, name -> new TreeMap<>());
        grantsByNode.values().forEach(grants -> grants.removeIf(grant -> now >= grant.expiresAt));
        double outstandingToOthers = 0;
        for (Map.Entry<String, List<IssuedGrant>> entry : grantsByNode.entrySet()) {
            if (!entry.getKey().equals(node)) {
                outstandingToOthers += maxRate(entry.getValue());
            }
        }
        double fairRate = maxMinFairRate(node, demandByZone.getOrDefault(zone, Map.of()), headroom);
        double grantedRate = Math.max(0, Math.min(fairRate, headroom - outstandingToOthers));
        List<IssuedGrant> ownGrants = grantsByNode.computeIfAbsent(node, name -> new ArrayList<>());
        if (replacedGrants == ReplacedGrants.IGNORED) {
            ownGrants.clear();
        }
        ownGrants.add(new IssuedGrant(grantedRate, now + grantDuration));
        return grantedRate;
    }

    /** Returns the largest of the grants that a node may still be using; it uses one at a time. */
    private static double maxRate(List<IssuedGrant> grants) {
        return grants.stream().mapToDouble(IssuedGrant::callsPerSecond).max().orElse(0);
    }

    /**
     * Returns a node's max-min fair rate: no node gets more than it requests, and none gets less than another that
     * requests more (Bertsekas and Gallager, 6.5.2).
     */
    private static double maxMinFairRate(String node, Map<String, Double> demandByNode, double headroom) {
        double remaining = Math.max(0, headroom);
        int nodesRemaining = demandByNode.size();
        for (Map.Entry<String, Double> entry : demandByNode.entrySet().stream()
                .sorted(Comparator.comparingDouble(Map.Entry::getValue))
                .toList()) {
            double fairRate = Math.min(entry.getValue(), remaining / nodesRemaining);
            if (entry.getKey().equals(node)) {
                return fairRate;
            }
            remaining -= fairRate;
            nodesRemaining--;
        }
        return 0;
    }

    /**
     * Returns the maximum rate that all nodes together may be sending to the zone now under their grants, in calls per
     * second.
     */
    public double outstanding(String zone, long now) {
        return issuedGrants.getOrDefault(zone, Map.of()).values().stream()
                .mapToDouble(grants -> maxRate(
                        grants.stream().filter(grant -> now < grant.expiresAt).toList()))
                .sum();
    }
}
