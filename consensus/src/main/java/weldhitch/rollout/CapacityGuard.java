package weldhitch.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Checks whether removing instances from service would leave a site or tier below its minimum capacity.
 * Immutable and thread-safe.
 */
public final class CapacityGuard {
    private final double minReadyFraction;

    /**
     * Creates a guard.
     *
     * @param minReadyFraction minimum fraction of a site's or tier's instances, 0 to 1, that must stay ready whatever
     *     is commanded
     */
    public CapacityGuard(double minReadyFraction) {
        if (!(minReadyFraction >= 0 && minReadyFraction <= 1)) {
            throw new IllegalArgumentException("wanted: a share from 0 to 1");
        }
        this.minReadyFraction = minReadyFraction;
    }

    /**
     * A site or tier that would have too few ready instances.
     *
     * @param group the site or tier
     * @param instances how many instances it has in total
     */
    public record Shortage(String group, int instances, int readyNow, int readyAfter, int requiredReady) {
        @Override
        public String toString() {
            return group + ": " + readyAfter + " of " + instances + " would be ready (" + readyNow + " are now), "
                    + requiredReady + " needed";
        }
    }

    /**
     * Returns the groups that would fall short; empty if the command is permitted. A group that is below its
     * minimum already counts only if the command removes more of its instances.
     *
     * @param removed names of the instances that the command takes out of service
     */
    public List<Shortage> findShortages(List<Instance> instances, Set<String> removed) {
        List<Shortage> shortages = new ArrayList<>();
        checkGroups(instances, removed, instance -> "site " + instance.site(), shortages);
        checkGroups(instances, removed, instance -> "tier " + instance.tier(), shortages);
        return shortages;
    }

    /** Returns how many of that number of instances must stay ready. */
    int requiredReady(int instances) {
        return (int) Math.ceil(minReadyFraction * instances - 1e-9);
    }

    private void checkGroups(
            List<Instance> instances,
            Set<String> removed,
            Function<Instance, String> groupOf,
            List<Shortage> shortages) {
        Map<String, int[]> counts = new TreeMap<>();
        for (Instance instance : instances) {
            int[] count = counts.computeIfAbsent(groupOf.apply(instance), newGroup -> new int[3]);
            count[0]++;
            count[1] += instance.ready() ? 1 : 0;
            count[2] += instance.ready() && !removed.contains(instance.name()) ? 1 : 0;
        }
        counts.forEach((name, count) -> {
            int required = requiredReady(count[0]);
            if (count[2] < required && count[2] < count[1]) {
                shortages.add(new Shortage(name, count[0], count[1], count[2], required));
            }
        });
    }
}
