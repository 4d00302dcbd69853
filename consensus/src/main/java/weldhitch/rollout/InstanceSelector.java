package weldhitch.rollout;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the instances that meet all given conditions. Immutable.
 *
 * @param name a glob for the complete name, in which {@code *} matches any characters and {@code ?} exactly one; null
 *     for any name
 * @param sites the sites to select from; empty for all
 * @param tiers the tiers to select from; empty for all
 * @param labels the labels that an instance must have, all of them
 */
public record InstanceSelector(String name, Set<String> sites, Set<Integer> tiers, Map<String, String> labels) {
    /** Copies the collections. */
    public InstanceSelector {
        sites = Set.copyOf(sites);
        tiers = Set.copyOf(tiers);
        labels = Map.copyOf(labels);
    }

    /** Returns the matching instances in the order of the list. */
    public List<Instance> selectFrom(List<Instance> instances) {
        return instances.stream().filter(this::matches).toList();
    }

    private boolean matches(Instance instance) {
        return (name == null || globMatches(name, 0, instance.name(), 0))
                && (sites.isEmpty() || sites.contains(instance.site()))
                && (tiers.isEmpty() || tiers.contains(instance.tier()))
                && labels.entrySet().stream()
                        .allMatch(label ->
                                label.getValue().equals(instance.labels().get(label.getKey())));
    }

    /** Matches a glob. Backtracks to the last star only, so the cost is at most the product of the two lengths. */
    private static boolean globMatches(String pattern, int patternIndex, String text, int textIndex) {
        int starIndex = -1;
        int resumeIndex = 0;
        while (textIndex < text.length()) {
            if (patternIndex < pattern.length() && pattern.charAt(patternIndex) == '*') {
                starIndex = patternIndex++;
                resumeIndex = textIndex;
            } else if (patternIndex < pattern.length()
                    && (pattern.charAt(patternIndex) == '?'
                            || pattern.charAt(patternIndex) == text.charAt(textIndex))) {
                patternIndex++;
                textIndex++;
            } else if (starIndex >= 0) {
                patternIndex = starIndex + 1;
                textIndex = ++resumeIndex;
            } else {
                return false;
            }
        }
        while (patternIndex < pattern.length() && pattern.charAt(patternIndex) == '*') {
            patternIndex++;
        }
        return patternIndex == pattern.length();
    }
}
