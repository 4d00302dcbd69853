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
     * @param minReadyFraction the minimum fraction of a site's or tier's instances, 0 to 1, that must stay ready
     *     whatever command is issued
     */
    public CapacityGuard(double minReadyFraction) {
        if (!(minReadyFraction >= 0 && minReadyFraction <= 1)) {
            throw new IllegalArgumentException("minReadyFraction: expected 0 to 1");
        }
        this.minReadyFraction = minReadyFraction;
    }

    /**
     * A site or tier that would have too few ready instances.
     *
     * @param group the site or tier
     * @param instances the number of its instances
     */
    public record Shortage(String group, int instances, int readyNow, int readyAfter, int requiredReady) {
        @Override
        public String toString() {
            return group + ": " + readyAfter + " of " + instances + " would be ready (" + readyNow + " are now), "
                    + requiredReady + " needed";
        }
    }

    /**
     * Returns the groups that would have too few ready instances; empty if the command is permitted. A group that is
     * already below its minimum counts only if the command removes more of its ready instances.
     *
     * @param removed names of the instances that the command takes out of service
     */
    public List<Shortage> findShortages(List<Instance> instances, Set<String> removed) {
        List<Shortage> shortages = new ArrayList<>();
        checkGroups(instances, removed, instance -> "site " + instance.site(), shortages);
        checkGroups(instances, removed, instance -> "tier " + instance.tier(), shortages);
        return shortages;
    }

    /** Counts the instances of one site or tier. */
    private static final class GroupCount {
        private int instances;
        private int readyNow;
        private int readyAfter;

        void add(Instance instance, Set<String> removed) {
            instances++;
            if (instance.ready()) {
                readyNow++;
                readyAfter += removed.contains(instance.name()) ? 0 : 1;
            }
        }
    }

    /** Returns how many of the given number of instances must stay ready. */
    int requiredReady(int instances) {
        return (int) Math.ceil(minReadyFraction * instances - 1e-9);
    }

    private void checkGroups(
            List<Instance> instances,
            Set<String> removed,
            Function<Instance, String> groupOf,
            List<Shortage> shortages) {
        Map<String, GroupCount> counts = new TreeMap<>();
        for (Instance instance : instances) {
            counts.computeIfAbsent(groupOf.apply(instance), newGroup -> new GroupCount())
                    .add(instance, removed);
        }
        counts.forEach((name, count) -> {
            int required = requiredReady(count.instances);
            if (count.readyAfter < required && count.readyAfter < count.readyNow) {
                shortages.add(new Shortage(name, count.instances, count.readyNow, count.readyAfter, required));
            }
        });
    }
}
