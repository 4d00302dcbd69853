package weldhitch.coordinator.server;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import weldhitch.coordinator.core.MissingMemberPolicy;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.error.FleetError.InvalidSetting;
import weldhitch.routeconfig.AddressParser;
import weldhitch.routeconfig.TomlLineIndex;

/**
 * Parses and validates the TOML of one {@link CoordinatorSettings} file and collects all of its errors.
 *
 * <p>Not thread-safe; used for one file.
 */
final class CoordinatorSettingsParser {
    private static final List<String> TOP_LEVEL_KEYS =
            List.of("version", "name", "cluster", "listen", "directory", "absent", "stewards", "timing");
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9_.-]{1,64}");
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,6})(ms|s)");

    private final String file;
    private final TomlLineIndex lines;
    private final List<InvalidSetting> errors = new ArrayList<>();

    CoordinatorSettingsParser(String file, TomlLineIndex lines) {
        this.file = file;
        this.lines = lines;
    }

    private void error(String key, String found, String expected) {
        errors.add(new InvalidSetting(file, lines.lineOf(key), key, found, expected));
    }

    CoordinatorSettings.ReadResult parse(JsonNode root) {
        root.fieldNames().forEachRemaining(key -> {
            if (!TOP_LEVEL_KEYS.contains(key)) {
                error(key, "is not a known key", "expected one of " + String.join(", ", TOP_LEVEL_KEYS));
            }
        });
        if (!root.path("version").isInt() || root.path("version").intValue() != 1) {
            error("version", "is " + (root.has("version") ? root.get("version") : "missing"), "write version = 1");
        }
        String name = name(root, "name");
        String cluster = name(root, "cluster");
        InetSocketAddress listen = address(root.path("listen"), "listen");
        Map<String, InetSocketAddress> coordinators = coordinators(root.path("stewards"), name);
        Path directory = directory(root.path("directory"));
        MissingMemberPolicy missingMemberPolicy = missingMemberPolicy(root.path("absent"));
        LeaseTiming timing = timing(root.path("timing"));
        return errors.isEmpty()
                ? new CoordinatorSettings.ReadResult(
                        new CoordinatorSettings(
                                name, cluster, listen, coordinators, directory, missingMemberPolicy, timing),
                        List.of())
                : new CoordinatorSettings.ReadResult(null, List.copyOf(errors));
    }

    private String name(JsonNode root, String key) {
        JsonNode value = root.path(key);
        if (!value.isTextual() || !NAME_PATTERN.matcher(value.textValue()).matches()) {
            error(
                    key,
                    value.isMissingNode() ? "is missing" : value + " is not a valid name",
                    "expected 1 to 64 letters, digits, dots, - and _");
            return null;
        }
        return value.textValue();
    }

    /** Parses an address; accepts only loopback addresses because requests are not authenticated. */
    private InetSocketAddress address(JsonNode value, String key) {
        InetSocketAddress address = value.isTextual() ? AddressParser.parse(value.textValue()) : null;
        if (address != null) {
            if (address.getAddress().isLoopbackAddress()) {
                return address;
            }
            error(
                    key,
                    value + " is not a loopback address",
                    "expected 127.0.0.1:PORT: requests to a coordinator are not authenticated,"
                            + " so it listens on loopback only");
            return null;
        }
        error(key, value.isMissingNode() ? "is missing" : value + " is not an address", "expected 127.0.0.1:PORT");
        return null;
    }

    private Map<String, InetSocketAddress> coordinators(JsonNode table, String name) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        table.properties().forEach(entry -> {
            String key = "stewards." + entry.getKey();
            if (!NAME_PATTERN.matcher(entry.getKey()).matches()) {
                error(key, "is not a valid name", "expected 1 to 64 letters, digits, dots, - and _");
            }
            InetSocketAddress address = address(entry.getValue(), key);
            if (address != null) {
                addresses.put(entry.getKey(), address);
            }
        });
        if (table.size() != 1 && table.size() != 3 && table.size() != 5) {
            error(
                    "stewards",
                    "lists " + table.size() + " coordinators",
                    "expected 1, 3 or 5, each as NAME = \"127.0.0.1:PORT\"");
        } else if (name != null && !table.has(name)) {
            error(
                    "stewards",
                    "does not list " + name + ", this coordinator",
                    "add it: the table must be the same at all coordinators");
        }
        return addresses;
    }

    private Path directory(JsonNode value) {
        try {
            Path path = Path.of(value.asText(""));
            if (value.isTextual() && path.isAbsolute()) {
                return path;
            }
        } catch (InvalidPathException e) {
            // Reported below.
        }
        error(
                "directory",
                value.isMissingNode() ? "is missing" : value + " is not an absolute path",
                "expected a directory that only this coordinator uses, beginning with /");
        return null;
    }

    private MissingMemberPolicy missingMemberPolicy(JsonNode value) {
        if (value.isMissingNode() || value.asText().equals("abort")) {
            return MissingMemberPolicy.ABORT;
        }
        if (value.asText().equals("fence")) {
            return MissingMemberPolicy.FENCE;
        }
        error("absent", value + " is not a known policy", "expected \"abort\" or \"fence\"");
        return null;
    }

    private LeaseTiming timing(JsonNode table) {
        table.fieldNames().forEachRemaining(key -> {
            if (!List.of("authority", "lease", "lead", "vote", "drift").contains(key)) {
                error("timing." + key, "is not a known key", "expected one of authority, lease, lead, vote, drift");
            }
        });
        LeaseTiming defaults = LeaseTiming.DEFAULT;
        long leaderLease = durationNanos(table, "authority", defaults.leaderLease());
        long memberLease = durationNanos(table, "lease", defaults.memberLease());
        long activationDelay = durationNanos(table, "lead", defaults.activationDelay());
        long voteTimeout = durationNanos(table, "vote", defaults.voteTimeout());
        JsonNode drift = table.path("drift");
        if (!drift.isMissingNode() && (!drift.isNumber() || drift.doubleValue() < 0 || drift.doubleValue() > 0.1)) {
            error("timing.drift", drift + " is not a valid drift rate", "expected 0 to 0.1");
            return null;
        }
        return leaderLease < 0 || memberLease < 0 || activationDelay < 0 || voteTimeout < 0
                ? null
                : new LeaseTiming(
                        leaderLease,
                        memberLease,
                        activationDelay,
                        voteTimeout,
                        drift.isMissingNode() ? defaults.maxClockDrift() : drift.doubleValue());
    }

    private long durationNanos(JsonNode table, String key, long defaultNanos) {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return defaultNanos;
        }
        Matcher matcher = DURATION_PATTERN.matcher(value.isTextual() ? value.textValue() : "");
        long millis = matcher.matches()
                ? Long.parseLong(matcher.group(1)) * (matcher.group(2).equals("s") ? 1000 : 1)
                : -1;
        if (millis < 50 || millis > 600_000) {
            error("timing." + key, value + " is not a valid duration", "expected 50ms to 600s");
            return -1;
        }
        return millis * 1_000_000;
    }
}
