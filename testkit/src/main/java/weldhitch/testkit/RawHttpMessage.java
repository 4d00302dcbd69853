package weldhitch.testkit;

import java.nio.charset.StandardCharsets;

/**
 * An HTTP message as received, not parsed. Immutable, except that the body array is not copied.
 *
 * @param head start line and headers including the empty line
 */
public record RawHttpMessage(String head, byte[] body) {
    /** Returns the request line or status line. */
    public String firstLine() {
        return head.substring(0, head.indexOf('\r'));
    }

    /** Returns the status code of a response. */
    public int status() {
        return Integer.parseInt(head.substring(9, 12));
    }

    /** Returns the value of a header by its lower-case name, or null if the header is absent. */
    public String header(String name) {
        return header(head, name);
    }

    /** Returns the body, decoded as ISO 8859-1. */
    public String bodyText() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Returns the value of a header in {@code head} by its lower-case name, or null if the header is absent. */
    public static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }
}
