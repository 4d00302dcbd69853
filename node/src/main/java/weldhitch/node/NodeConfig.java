package weldhitch.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.FlatSettingsParser;

/**
 * The node's configuration: the environment and the file that {@code GW_CONFIG} names. Immutable.
 *
 * @param listen where clients connect
 * @param discovery the address of the discovery service
 * @param sockets the limit of open descriptors, at least 100
 * @param knownEndpoints the cached endpoint list from the previous process
 * @param keepalive nanoseconds that servers keep an idle connection open
 */
record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        EndpointList knownEndpoints,
        BalancerSettings settings,
        long keepalive) {
    private static final long DEFAULT_KEEP_ALIVE_NANOS = 5_000_000_000L;

    /** A setting that is missing or invalid; the message is one line and names it. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message.lines().findFirst().orElse(""));
        }
    }

    static NodeConfig load(Map<String, String> environment) throws InvalidConfigException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigException("GW_CONFIG is not set");
        }
        byte[] json;
        try {
            json = Files.readAllBytes(Path.of(file));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new InvalidConfigException("GW_CONFIG: cannot read " + file + ": " + e);
        }
        try {
            return parse(json, environment);
        } catch (InvalidConfigException e) {
            throw new InvalidConfigException(
                    "GW_CONFIG " + file + ": " + e.getMessage().replaceFirst("^GW_CONFIG: ", ""));
        }
    }

    /**
     * Reads a file that was replaced while the node runs. The environment still names the discovery address of
     * the start, so here the file's address takes precedence.
     */
    static NodeConfig reload(Map<String, String> environment) throws InvalidConfigException {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove("GW_DISCOVERY");
        return load(withoutDiscovery);
    }

    /** The name and addresses in the environment take precedence over those of the file, which are the same. */
    static NodeConfig parse(byte[] json, Map<String, String> environment) throws InvalidConfigException {
        Map<String, String> flat = new HashMap<>();
        EndpointList knownEndpoints = new EndpointList(0, true, List.of());
        try (JsonParser parser = EndpointList.JSON_FACTORY.createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigException("GW_CONFIG: not a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals("known") && parser.currentToken() == JsonToken.START_OBJECT) {
                    knownEndpoints = EndpointList.read(parser);
                } else {
                    flatten(parser, name, flat);
                }
            }
        } catch (IOException e) {
            throw new InvalidConfigException("GW_CONFIG: " + e.getMessage());
        }
        environment.forEach((variable, value) -> {
            if (variable.startsWith("GW_") && !value.isEmpty()) {
                flat.put(variable.substring(3).toLowerCase(java.util.Locale.ROOT), value);
            }
        });
        Map<String, String> settingPairs = new HashMap<>();
        flat.forEach((path, value) -> {
            if (path.startsWith("settings.")) {
                settingPairs.put(path.substring("settings.".length()), value);
            }
        });
        if (settingPairs.isEmpty()) {
            throw new InvalidConfigException(
                    "settings: found none, expected the object that the platform's page describes");
        }
        try {
            FlatSettingsParser flatSettings = new FlatSettingsParser(settingPairs);
            BalancerSettings settings = flatSettings.settings();
            if (settings.classes().stream().anyMatch(c -> c.name().isEmpty())) {
                // Requests name their class, so no request could ever use this one.
                throw new InvalidConfigException("settings: classes.name: found none, expected the name of a class");
            }
            long keepalive = flatSettings.durationNanos("limits.keepaliveS");
            return new NodeConfig(
                    flat.getOrDefault("name", ""),
                    address(flat, "listen"),
                    address(flat, "discovery"),
                    seed(flat),
                    sockets(flat),
                    knownEndpoints,
                    settings,
                    keepalive > 0 ? keepalive : DEFAULT_KEEP_ALIVE_NANOS);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("settings: " + e.getMessage());
        }
    }

    private static InetSocketAddress address(Map<String, String> flat, String name) throws InvalidConfigException {
        String text = flat.getOrDefault(name, "");
        try {
            return EndpointList.address(text);
        } catch (IOException e) {
            throw new InvalidConfigException(name + ": found " + (text.isEmpty() ? "none" : text)
                    + ", expected an address in digits and a port");
        }
    }

    private static long seed(Map<String, String> flat) throws InvalidConfigException {
        try {
            return Long.parseUnsignedLong(flat.getOrDefault("seed", ""), 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException(
                    "seed: found " + flat.getOrDefault("seed", "none") + ", expected up to 16 hex digits");
        }
    }

    private static int sockets(Map<String, String> flat) throws InvalidConfigException {
        String text = flat.getOrDefault("limits.sockets", "");
        try {
            int sockets = (int) Double.parseDouble(text);
            if (sockets >= 100) {
                return sockets;
            }
        } catch (NumberFormatException e) {
            // reported below, like a number that is too small
        }
        throw new InvalidConfigException(
                "limits.sockets: found " + (text.isEmpty() ? "none" : text) + ", expected a number of 100 or more");
    }

    private static void flatten(JsonParser parser, String path, Map<String, String> flat) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    flatten(parser, path + "." + name, flat);
                }
            }
            case START_ARRAY -> {
                StringBuilder joined = new StringBuilder();
                int count = 0;
                boolean containsObjects = false;
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    if (parser.currentToken().isScalarValue()) {
                        joined.append(count == 0 ? "" : ",")
                                .append(parser.getText().replace(',', '_'));
                    } else {
                        containsObjects = true;
                        flatten(parser, path + "." + count, flat);
                    }
                    count++;
                }
                if (containsObjects) {
                    flat.put(path + ".count", Integer.toString(count));
                } else {
                    flat.put(path, joined.toString());
                }
            }
            case VALUE_NULL -> {}
            default -> flat.put(path, parser.getText());
        }
    }
}
