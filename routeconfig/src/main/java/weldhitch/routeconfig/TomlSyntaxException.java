package weldhitch.routeconfig;

/** Thrown for a text that is not valid TOML or exceeds a limit on nesting or keys. */
public final class TomlSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int line;
    private final String found;
    private final String expected;

    TomlSyntaxException(int line, String found, String expected, Throwable cause) {
        super("line " + line + ": " + found + "; " + expected, cause);
        this.line = line;
        this.found = found;
        this.expected = expected;
    }

    /** Returns the line of the error, counted from 1; 0 if it is not known. */
    public int line() {
        return line;
    }

    /** Returns what is wrong there. */
    public String found() {
        return found;
    }

    /** Returns what to write instead. */
    public String expected() {
        return expected;
    }
}
