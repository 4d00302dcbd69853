package weldhitch.capture.format;

import java.util.List;

/**
 * Encodes a list of zone names as one string, so that each of the few lists that recur needs only one entry of
 * the string table. Each name is terminated by U+001F, so that an empty list differs from a list of one empty
 * name. Stateless.
 */
final class ZoneListCodec {
    private static final char TERMINATOR = '\u001f';

    private ZoneListCodec() {}

    static String encode(List<String> zones) {
        StringBuilder encoded = new StringBuilder();
        for (String zone : zones) {
            if (zone.indexOf(TERMINATOR) >= 0) {
                throw new RecordEncoder.UnencodableEntryException("zone name contains the control character U+001F");
            }
            encoded.append(zone).append(TERMINATOR);
        }
        return encoded.toString();
    }

    static List<String> decode(String encoded) {
        return encoded.isEmpty()
                ? List.of()
                : List.of(encoded.substring(0, encoded.length() - 1).split(String.valueOf(TERMINATOR), -1));
    }
}
