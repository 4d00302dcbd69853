package weldhitch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Parses the tables of {@code docs/OUTER-NAMES.md}. Immutable. */
final class OuterNamesPage {
    /**
     * Words that stand for a value where they are part of a longer name, such as {@code class.NAME.KEY}. The list is
     * explicit, because capitals alone don't tell a placeholder from a name: {@code GET /ready} has none.
     */
    private static final Set<String> PLACEHOLDERS = Set.of(
            "ADDRESS", "CLASS", "E", "FIELD", "FILE", "ID", "KEY", "LINE", "METHOD", "N", "NAME", "PORT", "REMEDY",
            "ROUTE", "T", "URI", "V", "VALUE", "VERSION", "WHAT");

    private static final Pattern CODE_SPAN = Pattern.compile("`([^`]+)`");

    /** A written name and, where it differs, the Java name: `written`=java, `written` ← java or `written` (java). */
    private static final Pattern RENAMED = Pattern.compile("`(\\w+)`(?:=(\\w+)| ← (\\w+)| \\((\\w+)\\))?");

    private final List<Row> rows;

    private OuterNamesPage(List<Row> rows) {
        this.rows = rows;
    }

    /**
     * A row of a table.
     *
     * @param section the title above the table
     * @param owner the first cell: the classes that write or read the names
     * @param names the second cell: names in code spans, with prose between them
     */
    record Row(String section, String owner, String names) {
        /** Returns the classes of the first cell, without the explanations in parentheses. */
        List<String> owners() {
            return Stream.of(owner.replaceAll("\\([^)]*\\)", "").split(","))
                    .map(String::strip)
                    .filter(name -> !name.isEmpty())
                    .toList();
        }

        /** Returns the code spans of the second cell in their order. */
        List<String> spans() {
            return codeSpans(names);
        }

        /**
         * Returns the names that belong to one of the classes. Where the cell has as many parts, separated by
         * semicolons, as there are classes, each part belongs to its class; otherwise all names belong to each.
         */
        String namesOf(int ownerIndex) {
            String[] parts = names.split(";");
            int ownerCount = owners().size();
            return ownerCount > 1 && parts.length == ownerCount ? parts[ownerIndex] : names;
        }

        @Override
        public String toString() {
            return "section \"" + section + "\", owner \"" + owner + "\"";
        }
    }

    static OuterNamesPage read(Path file) throws IOException {
        List<Row> rows = new ArrayList<>();
        String section = "";
        boolean inTable = false;
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith("#")) {
                section = line.replaceFirst("^#+ *", "").strip();
            }
            if (!line.startsWith("|")) {
                inTable = false;
            } else if (line.startsWith("| ---")) {
                inTable = true;
            } else if (inTable) {
                rows.add(parseRow(section, line));
            }
        }
        return new OuterNamesPage(List.copyOf(rows));
    }

    private static Row parseRow(String section, String line) {
        String[] cells = line.split("(?<!\\\\)\\|");
        if (cells.length < 3) {
            throw new IllegalArgumentException("section \"" + section + "\": no row of two cells: " + line);
        }
        return new Row(section, cells[1].strip(), cells[2].strip().replace("\\|", "|"));
    }

    /** Returns all rows in the order of the page. */
    List<Row> rows() {
        return rows;
    }

    /**
     * Returns the rows of the sections with these titles. A title that no section has exactly is the beginning of the
     * titles of one or more sections; the call fails where there is none.
     */
    List<Row> rows(String... titles) {
        List<Row> found = new ArrayList<>();
        for (String title : titles) {
            boolean exact = rows.stream().anyMatch(row -> row.section().equals(title));
            List<Row> rowsOfTitle = rows.stream()
                    .filter(row ->
                            exact ? row.section().equals(title) : row.section().startsWith(title))
                    .toList();
            if (rowsOfTitle.isEmpty()) {
                throw new IllegalArgumentException("the page has no section \"" + title + "\"");
            }
            found.addAll(rowsOfTitle);
        }
        return found;
    }

    static List<String> codeSpans(String text) {
        return CODE_SPAN.matcher(text).results().map(result -> result.group(1)).toList();
    }

    /** Returns the Java name for each written name; the same name where the text gives no other. */
    static Map<String, String> javaNames(String text) {
        Map<String, String> names = new LinkedHashMap<>();
        Matcher matcher = RENAMED.matcher(text);
        while (matcher.find()) {
            String javaName = Stream.of(matcher.group(2), matcher.group(3), matcher.group(4))
                    .filter(name -> name != null)
                    .findFirst()
                    .orElse(matcher.group(1));
            names.put(matcher.group(1), javaName);
        }
        return names;
    }

    /** Returns the words of a name that the code must hold: all but placeholders of a longer name, and numbers. */
    static List<String> literalWords(String name) {
        return words(name).stream()
                .filter(word -> word.equals(name) || !PLACEHOLDERS.contains(word))
                .filter(word -> !word.matches("[0-9]+"))
                .toList();
    }

    /** Splits a text into words of letters, digits, hyphens and underscores. */
    static List<String> words(String text) {
        return Arrays.stream(text.split("[^A-Za-z0-9_-]+"))
                .filter(word -> word.matches(".*[A-Za-z0-9].*"))
                .toList();
    }
}
