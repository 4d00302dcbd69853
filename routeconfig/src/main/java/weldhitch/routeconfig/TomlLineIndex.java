package weldhitch.routeconfig;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds the line of each key of a TOML 1.0 document, because the library that reads the values does not report lines.
 * The tables of an array are numbered from 0, as in {@code route[0].deadline}. For a document with syntax errors the
 * index is correct only up to the first error. Immutable once it is constructed.
 */
public final class TomlLineIndex {
    private final String text;
    private final Map<String, Integer> lineByKey = new HashMap<>();
    private final Map<String, Integer> tableCountByArray = new HashMap<>();
    private int position;
    private int line = 1;
    private int firstDuplicateLine;

    /** Indexes a document. */
    public TomlLineIndex(String text) {
        this.text = text;
        String currentTable = "";
        for (skipBlanks(true); position < text.length(); skipBlanks(true)) {
            if (lookingAt("[[")) {
                position += 2;
                currentTable = parseTableHeader(true);
                position += 2;
            } else if (lookingAt("[")) {
                position++;
                currentTable = parseTableHeader(false);
                position++;
            } else {
                parseKeyValue(currentTable);
            }
        }
    }

    /** Returns the line of the key, or of the nearest key that encloses it; 1 if there is none. */
    public int lineOf(String key) {
        for (String enclosingKey = key; !enclosingKey.isEmpty(); enclosingKey = parentKey(enclosingKey)) {
            if (lineByKey.containsKey(enclosingKey)) {
                return lineByKey.get(enclosingKey);
            }
        }
        return 1;
    }

    /** Returns the first line with a key that was set before; 0 if there is none. */
    public int firstDuplicateLine() {
        return firstDuplicateLine;
    }

    /** Returns whether the document sets this key. */
    boolean contains(String key) {
        return lineByKey.containsKey(key);
    }

    private static String parentKey(String key) {
        int lastSeparator = Math.max(key.lastIndexOf('.'), key.lastIndexOf('['));
        return lastSeparator < 0 ? "" : key.substring(0, lastSeparator);
    }

    private String parseTableHeader(boolean array) {
        String path = "";
        do {
            skipBlanks(false);
            String tableName = joinKey(path, parseKeyPart());
            skipBlanks(false);
            boolean isLastPart = lookingAt("]");
            if (array && isLastPart) {
                tableCountByArray.merge(tableName, 1, Integer::sum);
            }
            path = tableCountByArray.containsKey(tableName)
                    ? tableName + "[" + (tableCountByArray.get(tableName) - 1) + "]"
                    : tableName;
            lineByKey.putIfAbsent(path, line);
        } while (consumeIf('.'));
        return path;
    }

    private void parseKeyValue(String table) {
        String path = table;
        boolean isFirstOccurrence;
        do {
            skipBlanks(false);
            path = joinKey(path, parseKeyPart());
            isFirstOccurrence = lineByKey.putIfAbsent(path, line) == null;
            skipBlanks(false);
        } while (consumeIf('.'));
        if (!isFirstOccurrence && firstDuplicateLine == 0) {
            firstDuplicateLine = line;
        }
        position++;
        skipBlanks(false);
        parseValue(path);
    }

    private void parseValue(String path) {
        if (lookingAt("{")) {
            position++;
            for (skipBlanks(true); position < text.length() && !lookingAt("}"); skipBlanks(true)) {
                parseKeyValue(path);
                skipBlanks(true);
                consumeIf(',');
            }
            position++;
        } else if (lookingAt("[")) {
            position++;
            int elementCount = 0;
            for (skipBlanks(true); position < text.length() && !lookingAt("]"); skipBlanks(true)) {
                String elementKey = path + "[" + elementCount++ + "]";
                lineByKey.putIfAbsent(elementKey, line);
                parseValue(elementKey);
                skipBlanks(true);
                consumeIf(',');
            }
            position++;
        } else if (lookingAt("\"") || lookingAt("'")) {
            parseString();
        } else {
            while (position < text.length() && ",]}#\r\n".indexOf(text.charAt(position)) < 0) {
                position++;
            }
        }
    }

    private String parseKeyPart() {
        if (lookingAt("\"") || lookingAt("'")) {
            return parseString();
        }
        int start = position;
        while (position < text.length()
                && (Character.isLetterOrDigit(text.charAt(position)) || lookingAt("-") || lookingAt("_"))) {
            position++;
        }
        return text.substring(start, position);
    }

    private String parseString() {
        char quote = text.charAt(position);
        String tripleQuote = String.valueOf(quote).repeat(3);
        String delimiter = lookingAt(tripleQuote) ? tripleQuote : String.valueOf(quote);
        position += delimiter.length();
        int start = position;
        while (position < text.length() && !lookingAt(delimiter)) {
            advance();
            if (quote == '"' && text.charAt(position - 1) == '\\') {
                advance();
            }
        }
        String content = text.substring(start, position);
        position += delimiter.length();
        // The content of a multi-line string may end with up to two quotes, directly before the delimiter.
        while (delimiter.length() == 3 && position < text.length() && text.charAt(position) == quote) {
            position++;
        }
        return content;
    }

    private void skipBlanks(boolean acrossLines) {
        while (position < text.length()) {
            char current = text.charAt(position);
            if (current == '#') {
                while (position < text.length() && text.charAt(position) != '\n') {
                    position++;
                }
            } else if (current == ' ' || current == '\t' || acrossLines && (current == '\n' || current == '\r')) {
                advance();
            } else {
                return;
            }
        }
    }

    private void advance() {
        line += position < text.length() && text.charAt(position) == '\n' ? 1 : 0;
        position++;
    }

    private boolean consumeIf(char expected) {
        boolean matches = position < text.length() && text.charAt(position) == expected;
        position += matches ? 1 : 0;
        return matches;
    }

    private boolean lookingAt(String prefix) {
        return text.startsWith(prefix, position);
    }

    private static String joinKey(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
