package weldhitch.routeconfig;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/** Suggests a known word in place of an unknown one. Stateless and thread-safe. */
final class SpellingSuggestions {
    /** Longer words are not compared. */
    private static final int MAX_WORD_LENGTH = 64;
    /** Of more known words, those of the most similar length are compared. */
    private static final int MAX_COMPARED_WORDS = 1000;
    /** Of more known words, the first ones are listed. */
    private static final int MAX_LISTED_WORDS = 40;

    private SpellingSuggestions() {}

    /** Returns a suggestion: the nearest known word, or a list of all known words if none is near. */
    static String suggest(String unknown, Collection<String> known) {
        String nearest = null;
        int minDistance = Math.max(2, unknown.length() / 2) + 1;
        for (String candidate : candidates(unknown, known)) {
            int distance = editDistance(unknown, candidate);
            if (distance < minDistance) {
                minDistance = distance;
                nearest = candidate;
            }
        }
        return nearest != null ? "did you mean \"" + nearest + "\"?" : "known: " + listOf(known);
    }

    private static List<String> candidates(String unknown, Collection<String> known) {
        if (unknown.length() > MAX_WORD_LENGTH) {
            return List.of();
        }
        return known.stream()
                .filter(word -> word.length() <= MAX_WORD_LENGTH)
                .sorted(Comparator.<String>comparingInt(word -> Math.abs(word.length() - unknown.length()))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(MAX_COMPARED_WORDS)
                .sorted()
                .toList();
    }

    private static String listOf(Collection<String> known) {
        String listed = known.stream().sorted().limit(MAX_LISTED_WORDS).collect(Collectors.joining(", "));
        int omitted = known.size() - MAX_LISTED_WORDS;
        return omitted > 0 ? listed + " and " + omitted + " more" : listed;
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
