package weldhitch.routeconfig;

/**
 * Finds the line of each key of a TOML 1.0 document, because the library that reads the values does not report lines.
 * The tables of an array are numbered from 0, as in {@code route[0].deadline}. For a document with syntax errors the
 * index is correct only up to the first error: the scan ends at the first place where it cannot consume anything, so
 * its time and memory are proportional to the document. Immutable once it is constructed.
 */
public final class TomlLineIndex {
    /** Levels of arrays and inline tables within each other. */
    static final int MAX_NESTING = 64;
    /** Parts of a dotted key or of a table header. */
    static final int MAX_KEY_PARTS = 32;
    /** Characters of one part of a key. */
    static final int MAX_KEY_LENGTH = 256;

    /**
     * A limit that the document exceeds. Immutable.
     *
     * @param line the line on which it is exceeded
     * @param found what stands there
     * @param expected what to write instead
     */
    record LimitViolation(int line, String found, String expected) {}

    private final String text;
    private final TomlKeyNode root = new TomlKeyNode(1);
    private int position;
    private int line = 1;
    private long stepCount;
    private int firstDuplicateLine;
    private LimitViolation limitViolation;
    /** The node of the last scalar element of an array; elements on the same line share it. */
    private TomlKeyNode lastScalarElement = root;

    /** Indexes a document. */
    public TomlLineIndex(String text) {
        this.text = text;
        TomlKeyNode table = root;
        skipBlanks(true);
        while (!atEnd()) {
            int start = position;
            if (lookingAt("[[")) {
                position += 2;
                table = parseTableHeader(true);
                consumeIf(']');
                consumeIf(']');
            } else if (lookingAt("[")) {
                position++;
                table = parseTableHeader(false);
                consumeIf(']');
            } else {
                parseKeyValue(table, 0);
            }
            skipBlanks(true);
            endUnlessConsumed(start);
        }
    }

    /** Returns the line of the key, or of the nearest key that encloses it; 1 if there is none. */
    public int lineOf(String key) {
        for (String enclosingKey = key; !enclosingKey.isEmpty(); enclosingKey = parentKey(enclosingKey)) {
            TomlKeyNode node = root.find(enclosingKey);
            if (node != null) {
                return node.line();
            }
        }
        return 1;
    }

    /** Returns the first line with a key that was set before; 0 if there is none. */
    public int firstDuplicateLine() {
        return firstDuplicateLine;
    }

    /** Returns the first limit that the document exceeds, at which the index ends; null if there is none. */
    LimitViolation limitViolation() {
        return limitViolation;
    }

    /** Returns how many times the scan looked at the next character; for tests of the time that it takes. */
    long stepCount() {
        return stepCount;
    }

    /** Returns whether the document sets this key. */
    boolean contains(String key) {
        return root.find(key) != null;
    }

    private static String parentKey(String key) {
        int lastSeparator = Math.max(key.lastIndexOf('.'), key.lastIndexOf('['));
        return lastSeparator < 0 ? "" : key.substring(0, lastSeparator);
    }

    private TomlKeyNode parseTableHeader(boolean array) {
        TomlKeyNode table = root;
        int partCount = 0;
        do {
            skipBlanks(false);
            TomlKeyNode named = table.childOrNew(parseKeyPart(++partCount), line);
            skipBlanks(false);
            if (array && lookingAt("]")) {
                named.addElement(new TomlKeyNode(line));
            }
            table = named.lastElement() == null ? named : named.lastElement();
        } while (consumeIf('.'));
        return table;
    }

    private void parseKeyValue(TomlKeyNode table, int nesting) {
        TomlKeyNode node = table;
        boolean isDuplicate;
        int partCount = 0;
        do {
            skipBlanks(false);
            String name = parseKeyPart(++partCount);
            isDuplicate = node.hasChild(name);
            node = node.childOrNew(name, line);
            skipBlanks(false);
        } while (consumeIf('.'));
        if (isDuplicate && firstDuplicateLine == 0) {
            firstDuplicateLine = line;
        }
        consumeIf('=');
        skipBlanks(false);
        parseValue(node, nesting);
    }

    private void parseValue(TomlKeyNode node, int nesting) {
        if (lookingAt("{") || lookingAt("[")) {
            if (nesting == MAX_NESTING) {
                endAtLimit("arrays and inline tables are nested too deeply", "nest at most " + MAX_NESTING + " levels");
            } else if (lookingAt("{")) {
                parseInlineTable(node, nesting + 1);
            } else {
                parseArray(node, nesting + 1);
            }
        } else if (lookingAt("\"") || lookingAt("'")) {
            parseString();
        } else {
            while (!atEnd() && ",]}#\r\n".indexOf(text.charAt(position)) < 0) {
                position++;
            }
        }
    }

    private void parseInlineTable(TomlKeyNode table, int nesting) {
        position++;
        skipBlanks(true);
        while (!atEnd() && !lookingAt("}")) {
            int start = position;
            parseKeyValue(table, nesting);
            skipBlanks(true);
            consumeIf(',');
            skipBlanks(true);
            endUnlessConsumed(start);
        }
        consumeIf('}');
    }

    private void parseArray(TomlKeyNode array, int nesting) {
        position++;
        skipBlanks(true);
        while (!atEnd() && !lookingAt("]")) {
            int start = position;
            TomlKeyNode element = newElement();
            array.addElement(element);
            parseValue(element, nesting);
            skipBlanks(true);
            consumeIf(',');
            skipBlanks(true);
            endUnlessConsumed(start);
        }
        consumeIf(']');
    }

    private TomlKeyNode newElement() {
        if (lookingAt("{") || lookingAt("[")) {
            return new TomlKeyNode(line);
        }
        if (lastScalarElement.line() != line || lastScalarElement == root) {
            lastScalarElement = new TomlKeyNode(line);
        }
        return lastScalarElement;
    }

    private String parseKeyPart(int partCount) {
        if (partCount > MAX_KEY_PARTS) {
            endAtLimit("a key has too many parts", "write at most " + MAX_KEY_PARTS + " parts between dots");
            return "";
        }
        String name = parseKeyName();
        if (name.length() > MAX_KEY_LENGTH) {
            endAtLimit(
                    "a key is " + name.length() + " characters long",
                    "write at most " + MAX_KEY_LENGTH + " characters");
            return "";
        }
        return name;
    }

    private String parseKeyName() {
        if (lookingAt("\"") || lookingAt("'")) {
            return parseString();
        }
        int start = position;
        while (!atEnd() && (Character.isLetterOrDigit(text.charAt(position)) || lookingAt("-") || lookingAt("_"))) {
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
        while (!atEnd() && !lookingAt(delimiter)) {
            if (quote == '"' && text.charAt(position) == '\\') {
                advance();
            }
            advance();
        }
        String content = text.substring(start, position);
        position = Math.min(text.length(), position + delimiter.length());
        // The content of a multi-line string may end with up to two quotes, directly before the delimiter.
        while (delimiter.length() == 3 && !atEnd() && text.charAt(position) == quote) {
            position++;
        }
        return content;
    }

    private void skipBlanks(boolean acrossLines) {
        while (!atEnd()) {
            char current = text.charAt(position);
            if (current == '#') {
                while (!atEnd() && text.charAt(position) != '\n') {
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
        if (position < text.length()) {
            line += text.charAt(position) == '\n' ? 1 : 0;
            position++;
        }
    }

    private boolean consumeIf(char expected) {
        boolean matches = position < text.length() && text.charAt(position) == expected;
        position += matches ? 1 : 0;
        return matches;
    }

    private boolean lookingAt(String prefix) {
        return text.startsWith(prefix, position);
    }

    private boolean atEnd() {
        stepCount++;
        return position >= text.length();
    }

    /** Ends the scan if a step that began at {@code start} consumed nothing: the document is malformed there. */
    private void endUnlessConsumed(int start) {
        if (position == start) {
            position = text.length();
        }
    }

    private void endAtLimit(String found, String expected) {
        if (limitViolation == null) {
            limitViolation = new LimitViolation(line, found, expected);
        }
        position = text.length();
    }
}
