package weldhitch.control.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which instances are meant: all that meet every part given.
 *
 * @param name a glob over the whole name, {@code *} any letters, {@code ?} any one; null for any
 * @param sites any of these; empty for all
 * @param tiers any of these; empty for all
 * @param labels all of these
 */
public record Selection(String name, Set<String> sites, Set<Integer> tiers, Map<String, String> labels) {
    public Selection {
        sites = Set.copyOf(sites);
        tiers = Set.copyOf(tiers);
        labels = Map.copyOf(labels);
    }

    /** In the order given. */
    public List<Instance> of(List<Instance> fleet) {
        return fleet.stream().filter(this::means).toList();
    }

    private boolean means(Instance i) {
        return (name == null || glob(name, 0, i.name(), 0)) && (sites.isEmpty() || sites.contains(i.site()))
            && (tiers.isEmpty() || tiers.contains(i.tier()))
            && labels.entrySet().stream().allMatch(l -> l.getValue().equals(i.labels().get(l.getKey())));
    }

    /** Goes back to the last star only, so that its cost is the product of the lengths at most. */
    private static boolean glob(String pattern, int p, String text, int t) {
        int star = -1;
        int from = 0;
        while (t < text.length()) {
            if (p < pattern.length() && pattern.charAt(p) == '*') {
                star = p++;
                from = t;
            } else if (p < pattern.length() && (pattern.charAt(p) == '?' || pattern.charAt(p) == text.charAt(t))) {
                p++;
                t++;
            } else if (star >= 0) {
                p = star + 1;
                t = ++from;
            } else {
                return false;
            }
        }
        while (p < pattern.length() && pattern.charAt(p) == '*') {
            p++;
        }
        return p == pattern.length();
    }
}
