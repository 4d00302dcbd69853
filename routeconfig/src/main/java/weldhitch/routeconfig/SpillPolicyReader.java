package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import weldhitch.fleet.locality.LocalityRule.HysteresisBand;
import weldhitch.fleet.locality.LocalityRule.SpillPolicy;

/**
 * Reads the spill policy of one rule of {@code [[locality]]}. {@link LocalitySectionReader} creates a new reader for
 * each rule. Not thread-safe.
 */
final class SpillPolicyReader {
    private static final long MIN_DWELL_NANOS = 100_000_000L;
    private static final long MAX_DWELL_NANOS = 600_000_000_000L;
    private static final long DEFAULT_DWELL_NANOS = 5_000_000_000L;
    private static final HysteresisBand DEFAULT_UTILIZATION = new HysteresisBand(0.85, 0.7);
    private static final HysteresisBand DEFAULT_HEALTHY_FRACTION = new HysteresisBand(0.5, 0.8);
    private static final HysteresisBand DEFAULT_LATE_FRACTION = new HysteresisBand(0.3, 0.1);
    private static final double DEFAULT_MAX_FRACTION = 1;
    private static final double DEFAULT_GROWTH_PER_SECOND = 0.2;
    private static final double DEFAULT_UNCOORDINATED_FRACTION = 0.02;

    private final TomlValueReader values;
    private boolean valid = true;

    /** Creates a reader that uses {@code values} to read values and report problems. */
    SpillPolicyReader(TomlValueReader values) {
        this.values = values;
    }

    /** Returns the spill policy of the rule at {@code key}; reports a problem and returns null if it is invalid. */
    SpillPolicy read(JsonNode table, String key) {
        HysteresisBand utilization = readBand(table, key, "use", DEFAULT_UTILIZATION, false);
        HysteresisBand healthyFraction = readBand(table, key, "healthy", DEFAULT_HEALTHY_FRACTION, true);
        HysteresisBand lateFraction = readBand(table, key, "late", DEFAULT_LATE_FRACTION, false);
        Long dwell = table.has("dwell")
                ? values.readDuration(table.get("dwell"), key + ".dwell", MIN_DWELL_NANOS, MAX_DWELL_NANOS)
                : Long.valueOf(DEFAULT_DWELL_NANOS);
        valid &= dwell != null;
        Double maxFraction = readFraction(table, key, "most", DEFAULT_MAX_FRACTION);
        Double growthPerSecond = table.has("growth")
                ? readNumber(table.get("growth"), key + ".growth", 0.001, 10)
                : Double.valueOf(DEFAULT_GROWTH_PER_SECOND);
        Double uncoordinatedFraction = readFraction(table, key, "alone", DEFAULT_UNCOORDINATED_FRACTION);
        if (maxFraction != null && maxFraction == 0) {
            error(
                    key + ".most",
                    "is 0, so no request would ever spill over",
                    "remove the further preferences from prefer instead");
        } else if (maxFraction != null && uncoordinatedFraction != null && uncoordinatedFraction > maxFraction) {
            error(
                    key + ".alone",
                    "is more than most, which is " + maxFraction,
                    "lower it: a node without a quota grant must not spill over more than a node with one");
        }
        return valid
                ? new SpillPolicy(
                        utilization,
                        healthyFraction,
                        lateFraction,
                        dwell,
                        maxFraction,
                        growthPerSecond,
                        uncoordinatedFraction)
                : null;
    }

    /**
     * Reads a hysteresis band. A priority level becomes short of capacity at {@code begin} and is no longer short at
     * {@code end}.
     *
     * @param rising whether {@code end} has to be above {@code begin}; otherwise it has to be below
     */
    private HysteresisBand readBand(
            JsonNode table, String parentKey, String name, HysteresisBand defaultBand, boolean rising) {
        JsonNode value = table.get(name);
        if (value == null) {
            return defaultBand;
        }
        String key = parentKey + "." + name;
        if (!values.requireMembers(
                value,
                key,
                List.of("begin", "end"),
                List.of("begin", "end"),
                "{ begin = " + defaultBand.begin() + ", end = " + defaultBand.end() + " }")) {
            valid = false;
            return defaultBand;
        }
        Double begin = readNumber(value.get("begin"), key + ".begin", rising ? 0 : 0.001, 1);
        Double end = readNumber(value.get("end"), key + ".end", 0, 1);
        if (begin == null || end == null) {
            return defaultBand;
        }
        if (rising ? end <= begin : end >= begin) {
            error(
                    key + ".end",
                    "is not " + (rising ? "above" : "below") + " begin, " + begin + ": the priority level would flap",
                    "separate them, such as { begin = " + defaultBand.begin() + ", end = " + defaultBand.end() + " }");
            return defaultBand;
        }
        return new HysteresisBand(begin, end);
    }

    private Double readFraction(JsonNode table, String key, String name, double defaultValue) {
        return table.has(name) ? readNumber(table.get(name), key + "." + name, 0, 1) : Double.valueOf(defaultValue);
    }

    private Double readNumber(JsonNode value, String key, double min, double max) {
        Double number = values.readNumber(value, key, min, max);
        valid &= number != null;
        return number;
    }

    private void error(String key, String description, String remedy) {
        valid = false;
        values.error(key, description, remedy);
    }
}
