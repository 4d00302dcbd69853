package weldhitch.routeconfig;

/**
 * A problem in a route configuration. Immutable.
 *
 * @param file the name of the file
 * @param line the line number, counted from 1; 0 if the problem concerns the entire file
 * @param key the key's full name, such as {@code route[2].hedge.after}; empty if it concerns the entire file
 * @param description what is wrong
 * @param remedy what to write instead
 * @param warning whether the file can be used nevertheless
 */
public record ConfigProblem(String file, int line, String key, String description, String remedy, boolean warning) {
    /** Returns one line in the format of compiler messages: {@code file:line: error: key: description; remedy}. */
    @Override
    public String toString() {
        return file + ":" + line + ": " + (warning ? "warning" : "error") + ": " + (key.isEmpty() ? "" : key + ": ")
                + description + "; " + remedy;
    }
}
