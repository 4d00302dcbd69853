package weldhitch.testkit;

import java.nio.charset.StandardCharsets;

/**
 * An HTTP message as received, unparsed. Immutable, except that the body array is not copied.
 *
 * @param head start line and headers including the empty line
 */
public record RawHttpMessage(String head, byte[] body) {
    /** The request line or status line. */
    public String firstLine() {
        return head.substring(0, head.indexOf('\r'));
    }

    /** The status code of a response. */
    public int status() {
        return Integer.parseInt(head.substring(9, 12));
    }

    /** The value of a header by its lower-case name; null where it is absent. */
    public String header(String name) {
        return header(head, name);
    }

    /** The body in ISO 8859-1. */
    public String bodyText() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** The value of a header in {@code head} by its lower-case name; null where it is absent. */
    public static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }
}
