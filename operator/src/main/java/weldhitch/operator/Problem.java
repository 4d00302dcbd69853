package weldhitch.operator;

/**
 * What is wrong in an operator file.
 *
 * @param line counted from 1; 0 where it is the whole file
 * @param key the key's full name, such as {@code route[2].hedge.after}; empty for the whole file
 * @param what what is wrong
 * @param instead what would be right
 * @param warning whether the file can be used all the same
 */
public record Problem(String file, int line, String key, String what, String instead, boolean warning) {
    /** One line, as compilers write it: {@code file:line: error: key: what; instead}. */
    @Override
    public String toString() {
        return file + ":" + line + ": " + (warning ? "warning" : "error") + ": " + (key.isEmpty() ? "" : key + ": ")
            + what + "; " + instead;
    }
}
