package weldhitch.testkit;

import java.nio.charset.StandardCharsets;

/** An HTTP message as it came over the wire. */
public record Message(String head, byte[] body) {
    public String firstLine() {
        return head.substring(0, head.indexOf('\r'));
    }

    public int status() {
        return Integer.parseInt(head.substring(9, 12));
    }

    public String field(String name) {
        return field(head, name);
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    public static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }
}
