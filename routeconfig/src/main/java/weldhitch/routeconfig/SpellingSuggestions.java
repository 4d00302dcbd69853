package weldhitch.routeconfig;

import java.util.Collection;
import java.util.List;

/** Suggests a known word in place of an unknown one. Stateless and thread-safe. */
final class SpellingSuggestions {
    private SpellingSuggestions() {}

    /** Returns a suggestion: the nearest known word, or a list of all known words if none is near. */
    static String suggest(String unknown, Collection<String> known) {
        String nearest = null;
        int minDistance = Math.max(2, unknown.length() / 2) + 1;
        List<String> sortedNames = known.stream().sorted().toList();
        for (String candidate : sortedNames) {
            int distance = editDistance(unknown, candidate);
            if (distance < minDistance) {
                minDistance = distance;
                nearest = candidate;
            }
        }
        return nearest != null ? "did you mean \"" + nearest + "\"?" : "known: " + String.join(", ", sortedNames);
    }

    /** Returns the Levenshtein distance of two words: the number of inserted, deleted and substituted letters. */
    private static int editDistance(String first, String second) {
        int[] row = new int[second.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= first.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int substitution = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[second.length()];
    }
}
