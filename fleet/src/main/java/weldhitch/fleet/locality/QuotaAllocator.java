package weldhitch.fleet.locality;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Splits the capacity that a zone has left over among the nodes that want it, so that what all of them may
 * send at once never exceeds it, even if grants are lost, duplicated or late: a grant counts until it must
 * have expired wherever it is, and one that replaces it counts beside it until then. Owned by the leading
 * coordinator's {@link ZoneLoadAggregator}. Not thread-safe.
 */
public final class QuotaAllocator {
    /** A grant to one node for one zone: calls per second, and its expiry by this clock. */
    private record IssuedGrant(double callsPerSecond, long expiresAt) {}

    private final long grantDuration;
    private final ReplacedGrants replacedGrants;
    private final Map<String, Map<String, List<IssuedGrant>>> issuedGrants = new TreeMap<>();
    private final Map<String, Map<String, Double>> demandByZone = new TreeMap<>();

    /**
     * Creates an allocator without grants.
     *
     * @param grantDuration how long a grant may be used at the latest after it was issued, in nanoseconds of this
     *     clock
     */
    public QuotaAllocator(long grantDuration) {
        this(grantDuration, ReplacedGrants.COUNTED_UNTIL_EXPIRY);
    }

    /** Creates an allocator without grants, with that policy for replaced ones. */
    QuotaAllocator(long grantDuration, ReplacedGrants replacedGrants) {
        this.grantDuration = grantDuration;
        this.replacedGrants = replacedGrants;
    }

    /** Sets what a node wants to send to a zone, in calls per second; 0 for nothing any more. */
    public void updateDemand(String node, String zone, double callsPerSecond) {
        Map<String, Double> demandByNode = demandByZone.computeIfAbsent(zone, name -> new TreeMap<>());
        if (callsPerSecond > 0) {
            demandByNode.put(node, callsPerSecond);
        } else {
            demandByNode.remove(node);
        }
    }

    /** Removes a node; what it was granted expires by itself. */
    public void removeNode(String node) {
        demandByZone.values().forEach(demandByNode -> demandByNode.remove(node));
    }

    /**
     * Issues a grant: what the node may send to the zone from now on, for {@code grantDuration} at most.
     *
     * @param headroom what the zone can take beyond its own load, from all nodes together, in calls per
     *     second
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

    /** A node uses one grant at a time: this is the largest of those that it may still be using. */
    private static double maxRate(List<IssuedGrant> grants) {
        return grants.stream().mapToDouble(IssuedGrant::callsPerSecond).max().orElse(0);
    }

    /**
     * Max-min fairness: no node gets more than it wants, and none less than another that wants more
     * (Bertsekas and Gallager, 6.5.2).
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
     * What all nodes together may be sending to the zone now by their grants, at most, in calls per second.
     */
    public double outstanding(String zone, long now) {
        return issuedGrants.getOrDefault(zone, Map.of()).values().stream()
                .mapToDouble(grants -> maxRate(
                        grants.stream().filter(grant -> now < grant.expiresAt).toList()))
                .sum();
    }
}
