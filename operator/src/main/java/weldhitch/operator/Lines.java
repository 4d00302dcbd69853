package weldhitch.operator;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds the line of each key of a TOML document (TOML 1.0), as the library that reads the values does not
 * report it. Tables of an array are numbered, {@code route[0].deadline}. For a document with syntax errors
 * the index is useful only up to the first one. Immutable once it is constructed.
 */
public final class Lines {
    private final String text;
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> arrays = new HashMap<>();
    private int at;
    private int line = 1;
    private int twice;

    /** Indexes a document. */
    public Lines(String text) {
        this.text = text;
        String table = "";
        for (skip(true); at < text.length(); skip(true)) {
            if (peek("[[")) {
                at += 2;
                table = header(true);
                at += 2;
            } else if (peek("[")) {
                at++;
                table = header(false);
                at++;
            } else {
                pair(table);
            }
        }
    }

    /** The line of the key, or of the nearest key that encloses it; 1 if there is none. */
    public int of(String key) {
        for (String k = key; !k.isEmpty(); k = parent(k)) {
            if (lines.containsKey(k)) {
                return lines.get(k);
            }
        }
        return 1;
    }

    /** The first line whose key was set before; 0 if there is none. */
    public int twice() {
        return twice;
    }

    /** Whether the document sets this key. */
    boolean has(String key) {
        return lines.containsKey(key);
    }

    private static String parent(String key) {
        int cut = Math.max(key.lastIndexOf('.'), key.lastIndexOf('['));
        return cut < 0 ? "" : key.substring(0, cut);
    }

    private String header(boolean array) {
        String path = "";
        do {
            skip(false);
            String name = join(path, word());
            skip(false);
            boolean last = peek("]");
            if (array && last) {
                arrays.merge(name, 1, Integer::sum);
            }
            path = arrays.containsKey(name) ? name + "[" + (arrays.get(name) - 1) + "]" : name;
            lines.putIfAbsent(path, line);
        } while (comes('.'));
        return path;
    }

    private void pair(String table) {
        String path = table;
        boolean fresh;
        do {
            skip(false);
            path = join(path, word());
            fresh = lines.putIfAbsent(path, line) == null;
            skip(false);
        } while (comes('.'));
        if (!fresh && twice == 0) {
            twice = line;
        }
        at++;
        skip(false);
        value(path);
    }

    private void value(String path) {
        if (peek("{")) {
            at++;
            for (skip(true); at < text.length() && !peek("}"); skip(true)) {
                pair(path);
                skip(true);
                comes(',');
            }
            at++;
        } else if (peek("[")) {
            at++;
            int count = 0;
            for (skip(true); at < text.length() && !peek("]"); skip(true)) {
                String element = path + "[" + count++ + "]";
                lines.putIfAbsent(element, line);
                value(element);
                skip(true);
                comes(',');
            }
            at++;
        } else if (peek("\"") || peek("'")) {
            string();
        } else {
            while (at < text.length() && ",]}#\r\n".indexOf(text.charAt(at)) < 0) {
                at++;
            }
        }
    }

    private String word() {
        if (peek("\"") || peek("'")) {
            return string();
        }
        int from = at;
        while (at < text.length() && (Character.isLetterOrDigit(text.charAt(at)) || peek("-") || peek("_"))) {
            at++;
        }
        return text.substring(from, at);
    }

    private String string() {
        char quote = text.charAt(at);
        String fence = String.valueOf(quote).repeat(3);
        String end = peek(fence) ? fence : String.valueOf(quote);
        at += end.length();
        int from = at;
        while (at < text.length() && !peek(end)) {
            step();
            if (quote == '"' && text.charAt(at - 1) == '\\') {
                step();
            }
        }
        String inside = text.substring(from, at);
        at += end.length();
        // A multi-line string may end with up to two quotes of its own.
        while (end.length() == 3 && at < text.length() && text.charAt(at) == quote) {
            at++;
        }
        return inside;
    }

    private void skip(boolean overLines) {
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '#') {
                while (at < text.length() && text.charAt(at) != '\n') {
                    at++;
                }
            } else if (c == ' ' || c == '\t' || overLines && (c == '\n' || c == '\r')) {
                step();
            } else {
                return;
            }
        }
    }

    private void step() {
        line += at < text.length() && text.charAt(at) == '\n' ? 1 : 0;
        at++;
    }

    private boolean comes(char c) {
        boolean there = at < text.length() && text.charAt(at) == c;
        at += there ? 1 : 0;
        return there;
    }

    private boolean peek(String s) {
        return text.startsWith(s, at);
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
