package weldhitch.client;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.regex.Pattern;

/**
 * Parses the Retry-After header of RFC 9110, section 10.2.3, and the decimal seconds that nodes send.
 * Stateless.
 */
final class RetryAfterHeader {
    private static final Pattern SECONDS_PATTERN = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private RetryAfterHeader() {}

    /** Returns the nanoseconds to wait; 0 if the header is absent (null), malformed, or names a past time. */
    static long parseNanos(String headerValue, Instant now) {
        if (headerValue == null) {
            return 0;
        }
        String value = headerValue.trim();
        if (SECONDS_PATTERN.matcher(value).matches()) {
            return (long) (Double.parseDouble(value) * 1e9);
        }
        try {
            Instant retryAt = Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(value));
            Duration remaining = Duration.between(now, retryAt);
            return remaining.isNegative()
                    ? 0
                    : remaining.getSeconds() > Integer.MAX_VALUE
                            ? Integer.MAX_VALUE * 1_000_000_000L
                            : remaining.toNanos();
        } catch (DateTimeException e) {
            return 0;
        }
    }
}
