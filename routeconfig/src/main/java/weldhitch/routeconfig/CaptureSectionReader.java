package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import weldhitch.capture.policy.CaptureLimits;

/**
 * Reads the section {@code [capture]}. One pass reports all problems to the {@link TomlValueReader}. Used by
 * {@link RouteConfigParser} for one file; not thread-safe.
 */
final class CaptureSectionReader {
    private static final List<String> KNOWN_KEYS =
            List.of("on", "directory", "segment-size", "segment-age", "total-size", "snapshot-every", "queue");
    private static final Pattern SIZE_PATTERN = Pattern.compile("([0-9]{1,9})(KiB|MiB|GiB)");
    private static final Map<String, Long> BYTES_PER_UNIT = Map.of("KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);
    private static final long MAX_TOTAL_BYTES = 1L << 50;
    private static final long DAY_NANOS = 24 * 3600 * CaptureLimits.NANOS_PER_SECOND;

    private final TomlValueReader values;

    /** Creates a section reader that reports problems to {@code values}. */
    CaptureSectionReader(TomlValueReader values) {
        this.values = values;
    }

    /** Returns the settings of the section; null if there is no such section or it has errors. */
    CaptureSettings read(JsonNode capture) {
        if (!values.requireTable(capture, "capture")) {
            return null;
        }
        boolean valid = values.requireKnownKeys(capture, "capture", KNOWN_KEYS);
        Boolean enabled = readEnabled(capture.get("on"));
        Path directory = readDirectory(capture);
        Long segmentSize = readSize(
                capture, "segment-size", 64L << 20, CaptureLimits.MIN_SEGMENT_BYTES, CaptureLimits.MAX_SEGMENT_BYTES);
        Long totalSize =
                readSize(capture, "total-size", 1L << 30, 2 * CaptureLimits.MIN_SEGMENT_BYTES, MAX_TOTAL_BYTES);
        Long segmentAge = readDuration(capture, "segment-age", DAY_NANOS / 24, 7 * DAY_NANOS);
        Long snapshotInterval =
                readDuration(capture, "snapshot-every", 60 * CaptureLimits.NANOS_PER_SECOND, DAY_NANOS / 24);
        Integer queueSize = capture.has("queue")
                ? values.readInteger(capture.get("queue"), "capture.queue", 64, 1 << 20)
                : Integer.valueOf(1 << 14);
        if (queueSize != null && Integer.bitCount(queueSize) != 1) {
            values.error(
                    "capture.queue",
                    queueSize + " is not a power of two",
                    "write " + Integer.highestOneBit(queueSize) + " or " + 2 * Integer.highestOneBit(queueSize));
            queueSize = null;
        }
        if (segmentSize != null && totalSize != null && totalSize < 2 * segmentSize) {
            values.error(
                    capture.has("total-size") ? "capture.total-size" : "capture.segment-size",
                    "total-size is less than twice segment-size",
                    "one segment is written while older ones are kept: write " + 2 * segmentSize / (1 << 10)
                            + "KiB or more");
            totalSize = null;
        }
        return !valid
                        || enabled == null
                        || directory == null
                        || segmentSize == null
                        || totalSize == null
                        || segmentAge == null
                        || snapshotInterval == null
                        || queueSize == null
                ? null
                : new CaptureSettings(
                        enabled,
                        directory,
                        new CaptureLimits(segmentSize, segmentAge, totalSize, snapshotInterval, queueSize));
    }

    private Boolean readEnabled(JsonNode value) {
        if (value != null && !value.isBoolean()) {
            values.error("capture.on", value + " is neither true nor false", "write on = true");
            return null;
        }
        return value == null || value.booleanValue();
    }

    private Path readDirectory(JsonNode capture) {
        String text = values.readText(capture, "capture", "directory");
        if (text == null) {
            if (!capture.has("directory")) {
                values.error("capture", "directory is missing", "set it to a directory that only this node uses");
            }
            return null;
        }
        try {
            Path path = Path.of(text);
            if (path.isAbsolute()) {
                return path;
            }
        } catch (InvalidPathException e) {
            // Reported below, together with relative paths.
        }
        values.error("capture.directory", "\"" + text + "\" is not an absolute path", "start it with /");
        return null;
    }

    private Long readDuration(JsonNode capture, String name, long defaultValue, long max) {
        return capture.has(name)
                ? values.readDuration(capture.get(name), "capture." + name, CaptureLimits.NANOS_PER_SECOND, max)
                : Long.valueOf(defaultValue);
    }

    private Long readSize(JsonNode capture, String name, long defaultValue, long min, long max) {
        JsonNode value = capture.get(name);
        if (value == null) {
            return defaultValue;
        }
        Matcher matcher = value.isTextual() ? SIZE_PATTERN.matcher(value.textValue()) : null;
        if (matcher == null || !matcher.matches()) {
            values.error(
                    "capture." + name,
                    value + " is not a size",
                    "write a whole number and KiB, MiB or GiB, such as \"64MiB\"");
            return null;
        }
        long bytes = Long.parseLong(matcher.group(1)) * BYTES_PER_UNIT.get(matcher.group(2));
        if (bytes < min || bytes > max) {
            values.error(
                    "capture." + name,
                    value + " is out of range",
                    "write a size from " + (min >> 10) + "KiB to " + (max >> 30) + "GiB");
            return null;
        }
        return bytes;
    }
}
