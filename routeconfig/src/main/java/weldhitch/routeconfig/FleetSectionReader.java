package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import weldhitch.fleet.member.FleetSettings;

/**
 * Reads the section {@code [fleet]}. One pass reports all problems to the {@link TomlValueReader}. Used by
 * {@link RouteConfigParser} for one file; not thread-safe.
 */
final class FleetSectionReader {
    private static final List<String> KNOWN_KEYS = List.of("cluster", "stewards", "before-join", "tell-version");

    private final TomlValueReader values;

    /** Creates a section reader that reports problems to {@code values}. */
    FleetSectionReader(TomlValueReader values) {
        this.values = values;
    }

    /** Returns the settings of the section; null if there is no such section or it has errors. */
    FleetSettings read(JsonNode fleet) {
        if (!values.requireTable(fleet, "fleet")) {
            return null;
        }
        boolean valid = values.requireKnownKeys(fleet, "fleet", KNOWN_KEYS);
        String cluster = values.readText(fleet, "fleet", "cluster");
        if (cluster == null && !fleet.has("cluster")) {
            values.error("fleet", "cluster is missing", "set it to the cluster name that the coordinators use");
        } else if (cluster != null
                && !TomlValueReader.NAME_PATTERN.matcher(cluster).matches()) {
            values.error(
                    "fleet.cluster",
                    "\"" + cluster + "\" is not a valid name",
                    "use 1 to 64 letters, digits, dots, - and _");
            cluster = null;
        }
        List<InetSocketAddress> coordinators = readCoordinators(fleet.get("stewards"));
        Boolean fenceBeforeJoin = readFenceBeforeJoin(fleet.get("before-join"));
        Boolean exposeVersion = readExposeVersion(fleet.get("tell-version"));
        return !valid || cluster == null || coordinators == null || fenceBeforeJoin == null || exposeVersion == null
                ? null
                : new FleetSettings(cluster, coordinators, fenceBeforeJoin, exposeVersion);
    }

    private List<InetSocketAddress> readCoordinators(JsonNode array) {
        if (array == null || !array.isArray() || array.isEmpty() || array.size() > 5) {
            values.error(
                    array == null ? "fleet" : "fleet.stewards",
                    array == null ? "stewards is missing" : array + " is not a list of 1 to 5 addresses",
                    "write stewards = [\"127.0.0.1:7101\"]");
            return null;
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode element : array) {
            InetSocketAddress address = AddressParser.parse(element.asText());
            if (element.isTextual()
                    && address != null
                    && address.getAddress().isLoopbackAddress()
                    && address.getPort() > 0) {
                addresses.add(address);
                continue;
            }
            values.error(
                    "fleet.stewards",
                    element + " is not a loopback address",
                    "write \"127.0.0.1:PORT\", the address of a coordinator or of a relay to one");
            return null;
        }
        return addresses;
    }

    private Boolean readFenceBeforeJoin(JsonNode value) {
        if (value == null || value.asText().equals("fence")) {
            return Boolean.TRUE;
        }
        if (value.asText().equals("serve")) {
            return Boolean.FALSE;
        }
        values.error("fleet.before-join", value + " is not a known value", "write \"fence\" or \"serve\"");
        return null;
    }

    private Boolean readExposeVersion(JsonNode value) {
        if (value != null && !value.isBoolean()) {
            values.error("fleet.tell-version", value + " is neither true nor false", "write tell-version = true");
            return null;
        }
        return value != null && value.booleanValue();
    }
}
