package weldhitch.wire;

import java.util.Map;

/**
 * The fields of one protocol line, parsed from left to right. Used by {@link Adapter}; mutable, not
 * thread-safe.
 */
final class Fields {
    private final String line;
    private final long number;
    private final String name;
    private int at;

    Fields(String line, long number) {
        this.line = line;
        this.number = number;
        this.name = text();
    }

    String name() {
        return name;
    }

    boolean more() {
        return at < line.length();
    }

    String text() {
        if (at > line.length() || line.isEmpty()) {
            throw malformed("a field is missing");
        }
        int end = line.indexOf(' ', at);
        end = end < 0 ? line.length() : end;
        String field = line.substring(at, end);
        at = end + 1;
        if (field.isEmpty()) {
            throw malformed("a field is empty");
        }
        return field;
    }

    String optionalText() {
        if (at >= line.length()) {
            return null;
        }
        String field = text();
        return field.equals("-") ? null : field;
    }

    int integer() {
        long value = longInteger();
        if (value != (int) value) {
            throw malformed("too large a number: " + value);
        }
        return (int) value;
    }

    int optionalInteger() {
        String field = optionalText();
        return field == null ? 0 : (int) parseLong(field);
    }

    /** An integer of 64 bits, signed or unsigned: seeds use all bits. */
    long longInteger() {
        return parseLong(text());
    }

    private long parseLong(String field) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            try {
                return Long.parseUnsignedLong(field);
            } catch (NumberFormatException still) {
                throw malformed("not a whole number: " + field);
            }
        }
    }

    double optionalNumber() {
        String field = optionalText();
        return field == null ? 0 : parseNumber(field);
    }

    /** A time or duration in seconds, as nanoseconds. */
    long time() {
        return Math.round(parseNumber(text()) * 1e6) * 1000;
    }

    long optionalTime() {
        String field = optionalText();
        return field == null ? 0 : Math.round(parseNumber(field) * 1e6) * 1000;
    }

    private double parseNumber(String field) {
        try {
            return Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw malformed("not a number: " + field);
        }
    }

    boolean bool() {
        String field = text();
        if (!field.equals("0") && !field.equals("1")) {
            throw malformed("neither 0 nor 1: " + field);
        }
        return field.equals("1");
    }

    double[] numbers() {
        String field = optionalText();
        if (field == null) {
            return null;
        }
        String[] parts = field.split(",", -1);
        double[] values = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            values[i] = parts[i].isEmpty() || parts[i].equals("-") ? Double.NaN : parseNumber(parts[i]);
        }
        return values;
    }

    <T> T word(Map<String, T> words) {
        String field = text();
        T value = words.get(field);
        if (value == null) {
            throw malformed("unknown word: " + field);
        }
        return value;
    }

    MalformedLineException malformed(String wrong) {
        return new MalformedLineException(number, wrong);
    }
}
