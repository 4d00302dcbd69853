package weldhitch.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.FlatSettingsParser;
import weldhitch.routeconfig.BoundedFileReader;

/**
 * The node's configuration: the environment and the file that {@code GW_CONFIG} names. Immutable.
 *
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery service
 * @param sockets the limit of open descriptors, at least 100
 * @param memoryLimitBytes the memory limit of the process; {@code Long.MAX_VALUE} if the file states none
 * @param knownEndpoints the cached endpoint list from the previous process
 * @param keepalive time that servers keep an idle connection open, in nanoseconds
 */
record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        long memoryLimitBytes,
        EndpointList knownEndpoints,
        BalancerSettings settings,
        long keepalive) {
    private static final long DEFAULT_KEEP_ALIVE_NANOS = 5_000_000_000L;
    private static final int MIN_SOCKETS = 100;
    private static final int MAX_BYTES = 16 << 20;
    private static final long BYTES_PER_MEGABYTE = 1L << 20;
    private static final String VARIABLE_PREFIX = "GW_";
    private static final String SETTINGS_PREFIX = "settings.";

    /** Reads the file at the start of the process. */
    static NodeConfig load(Map<String, String> environment) throws InvalidConfigException {
        return load(environment, BoundedFileReader.MAX_DURATION_AT_START);
    }

    private static NodeConfig load(Map<String, String> environment, Duration maxDuration)
            throws InvalidConfigException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigException("GW_CONFIG is not set");
        }
        byte[] json;
        try {
            json = BoundedFileReader.read(Path.of(file), MAX_BYTES, maxDuration);
        } catch (IOException | InvalidPathException e) {
            throw InvalidConfigException.unreadable("cannot read " + file + ": " + e, e);
        }
        try {
            return parse(json, environment);
        } catch (InvalidConfigException e) {
            throw e.inFile(file);
        }
    }

    /**
     * Reads a file that was replaced while the node runs. The environment still contains the discovery address from the
     * start of the process, so here the address in the file takes precedence.
     */
    static NodeConfig reload(Map<String, String> environment) throws InvalidConfigException {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove("GW_DISCOVERY");
        return load(withoutDiscovery, BoundedFileReader.MAX_DURATION_OF_RELOAD);
    }

    /**
     * Parses a configuration; the variables in the environment take precedence over the same keys of the file. The name
     * and the addresses are given in both, with the same values.
     */
    static NodeConfig parse(byte[] json, Map<String, String> environment) throws InvalidConfigException {
        ConfigFlattener flattener = new ConfigFlattener();
        EndpointList knownEndpoints;
        try (JsonParser parser = EndpointList.JSON_FACTORY.createParser(json)) {
            knownEndpoints = readKeys(parser, flattener);
        } catch (IOException e) {
            throw InvalidConfigException.unreadable(e.getMessage(), e);
        }
        Map<String, String> flat = flattener.values();
        environment.forEach((variable, value) -> {
            if (variable.startsWith(VARIABLE_PREFIX) && !value.isEmpty()) {
                flat.put(variable.substring(VARIABLE_PREFIX.length()).toLowerCase(Locale.ROOT), value);
            }
        });
        return of(flat, knownEndpoints);
    }

    /** Adds the values of all keys to the flattener, except the cached endpoint list, which is returned. */
    private static EndpointList readKeys(JsonParser parser, ConfigFlattener flattener)
            throws IOException, InvalidConfigException {
        EndpointList knownEndpoints = new EndpointList(0, true, List.of());
        try {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw InvalidConfigException.unreadable("not a JSON object", null);
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals("known") && parser.currentToken() == JsonToken.START_OBJECT) {
                    knownEndpoints = EndpointList.read(parser);
                } else {
                    flattener.flatten(parser, name);
                }
            }
            return knownEndpoints;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null
                    ? parser.currentLocation().getLineNr()
                    : e.getLocation().getLineNr();
            throw InvalidConfigException.unreadable("line " + line + ": " + e.getOriginalMessage(), e);
        }
    }

    private static NodeConfig of(Map<String, String> flat, EndpointList knownEndpoints) throws InvalidConfigException {
        Map<String, String> settingPairs = settingPairs(flat);
        try {
            FlatSettingsParser flatSettings = new FlatSettingsParser(settingPairs);
            BalancerSettings settings = flatSettings.settings();
            if (settings.classes().stream().anyMatch(c -> c.name().isEmpty())) {
                // Requests name their class, so no request could ever use this class.
                throw InvalidConfigException.invalidValue(
                        "settings: classes.name", "none", "the name of a class", null);
            }
            long keepalive = flatSettings.durationNanos("limits.keepaliveS");
            return new NodeConfig(
                    flat.getOrDefault("name", ""),
                    address(flat, "listen"),
                    address(flat, "discovery"),
                    seed(flat),
                    sockets(flat),
                    memoryLimitBytes(flat),
                    knownEndpoints,
                    settings,
                    keepalive > 0 ? keepalive : DEFAULT_KEEP_ALIVE_NANOS);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("settings: " + e.getMessage(), e);
        }
    }

    private static Map<String, String> settingPairs(Map<String, String> flat) throws InvalidConfigException {
        Map<String, String> settingPairs = new HashMap<>();
        flat.forEach((path, value) -> {
            if (path.startsWith(SETTINGS_PREFIX)) {
                settingPairs.put(path.substring(SETTINGS_PREFIX.length()), value);
            }
        });
        if (settingPairs.isEmpty()) {
            throw InvalidConfigException.invalidValue("settings", "none", "an object with the node's settings", null);
        }
        return settingPairs;
    }

    private static InetSocketAddress address(Map<String, String> flat, String name) throws InvalidConfigException {
        String text = flat.getOrDefault(name, "");
        try {
            return EndpointList.address(text);
        } catch (MalformedAddressException e) {
            throw InvalidConfigException.invalidValue(
                    name, text.isEmpty() ? "none" : text, "an address and port, both numeric", e);
        }
    }

    private static long seed(Map<String, String> flat) throws InvalidConfigException {
        try {
            return Long.parseUnsignedLong(flat.getOrDefault("seed", ""), 16);
        } catch (NumberFormatException e) {
            throw InvalidConfigException.invalidValue(
                    "seed", flat.getOrDefault("seed", "none"), "up to 16 hex digits", e);
        }
    }

    private static long memoryLimitBytes(Map<String, String> flat) throws InvalidConfigException {
        String text = flat.get("limits.memory_mb");
        if (text == null) {
            return Long.MAX_VALUE;
        }
        try {
            double megabytes = Double.parseDouble(text);
            if (megabytes > 0) {
                return (long) (megabytes * BYTES_PER_MEGABYTE);
            }
        } catch (NumberFormatException e) {
            // Thrown below, as for a number that is not positive.
        }
        throw InvalidConfigException.invalidValue("limits.memory_mb", text, "a number above 0", null);
    }

    private static int sockets(Map<String, String> flat) throws InvalidConfigException {
        String text = flat.getOrDefault("limits.sockets", "");
        try {
            int sockets = (int) Double.parseDouble(text);
            if (sockets >= MIN_SOCKETS) {
                return sockets;
            }
        } catch (NumberFormatException e) {
            // Thrown below, as for a number that is too small.
        }
        throw InvalidConfigException.invalidValue(
                "limits.sockets", text.isEmpty() ? "none" : text, "a number of " + MIN_SOCKETS + " or more", null);
    }
}
