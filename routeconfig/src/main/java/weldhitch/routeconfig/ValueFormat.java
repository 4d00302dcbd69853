package weldhitch.routeconfig;

import java.math.BigDecimal;

/** Formats durations and numbers for people. Stateless and thread-safe. */
final class ValueFormat {
    private ValueFormat() {}

    /** Formats nanoseconds as a duration in s, ms or us. */
    static String formatDuration(long nanos) {
        if (nanos >= 1_000_000_000L) {
            return formatNumber(nanos / 1e9) + "s";
        }
        return nanos >= 1_000_000L ? formatNumber(nanos / 1e6) + "ms" : formatNumber(nanos / 1e3) + "us";
    }

    /** Formats a number without exponent and trailing zeros. */
    static String formatNumber(double number) {
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }
}
