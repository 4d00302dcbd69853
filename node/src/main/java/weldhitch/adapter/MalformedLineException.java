package weldhitch.adapter;

/** Thrown for a line that violates the line protocol; the message gives the line's number and the error. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(long line, String detail) {
        super("line " + line + ": " + detail);
    }
}
