package weldhitch.adapter;

import java.util.Map;

/**
 * Parses the fields of one protocol line from left to right. Used by {@link Adapter}; mutable, not thread-safe.
 */
final class LineFields {
    private final String line;
    private final long lineNumber;
    private final String name;
    private int position;

    LineFields(String line, long lineNumber) {
        this.line = line;
        this.lineNumber = lineNumber;
        this.name = text();
    }

    String name() {
        return name;
    }

    boolean hasMore() {
        return position < line.length();
    }

    String text() {
        if (position > line.length() || line.isEmpty()) {
            throw malformed("a field is missing");
        }
        int end = line.indexOf(' ', position);
        end = end < 0 ? line.length() : end;
        String field = line.substring(position, end);
        position = end + 1;
        if (field.isEmpty()) {
            throw malformed("a field is empty");
        }
        return field;
    }

    String optionalText() {
        if (position >= line.length()) {
            return null;
        }
        String field = text();
        return field.equals("-") ? null : field;
    }

    int integer() {
        long value = longInteger();
        if (value != (int) value) {
            throw malformed("integer out of range: " + value);
        }
        return (int) value;
    }

    int optionalInteger() {
        String field = optionalText();
        return field == null ? 0 : (int) parseLong(field);
    }

    /** Reads a 64-bit integer, signed or unsigned, because seeds use all bits. */
    long longInteger() {
        return parseLong(text());
    }

    private long parseLong(String field) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            try {
                return Long.parseUnsignedLong(field);
            } catch (NumberFormatException notUnsigned) {
                throw malformed("expected an integer, found " + field);
            }
        }
    }

    double optionalNumber() {
        String field = optionalText();
        return field == null ? 0 : parseNumber(field);
    }

    /** Reads a time or duration in seconds and returns it in nanoseconds. */
    long nanos() {
        return Math.round(parseNumber(text()) * 1e6) * 1000;
    }

    long optionalNanos() {
        String field = optionalText();
        return field == null ? 0 : Math.round(parseNumber(field) * 1e6) * 1000;
    }

    private double parseNumber(String field) {
        try {
            return Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw malformed("expected a number, found " + field);
        }
    }

    boolean bool() {
        String field = text();
        if (!field.equals("0") && !field.equals("1")) {
            throw malformed("expected 0 or 1, found " + field);
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

    <T> T enumValue(Map<String, T> valuesByName) {
        String field = text();
        T value = valuesByName.get(field);
        if (value == null) {
            throw malformed("unknown value: " + field);
        }
        return value;
    }

    MalformedLineException malformed(String detail) {
        return new MalformedLineException(lineNumber, detail);
    }
}
