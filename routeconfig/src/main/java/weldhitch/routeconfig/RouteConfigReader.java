package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.routeconfig.RuleSection.Kind;
import weldhitch.routeconfig.RuleSection.Setting;

/**
 * Reads the defaults, classes and routes of a parsed TOML document. An invalid setting is reported and skipped, so
 * that one pass finds all problems. Used by {@link RouteConfigParser} for one file; not thread-safe.
 */
final class RouteConfigReader {
    static final int MAX_ROUTES = 5000;
    private static final List<String> TOP_LEVEL_KEYS =
            List.of("version", "capture", "fleet", "zones", "locality", "defaults", "class", "route");
    private static final List<String> MATCH_KEYS = List.of("name", "class", "method", "path", "prefix");
    private static final List<String> RULE_KEYS =
            Arrays.stream(RuleKey.values()).map(key -> key.tomlName).toList();
    private static final List<String> ROUTE_KEYS =
            Stream.concat(MATCH_KEYS.stream(), RULE_KEYS.stream()).toList();

    private final TomlValueReader values;
    private final RuleSettingsReader settingsReader;
    private final RoutePatternReader patterns;

    /** Creates a reader that uses {@code values} to read values and report problems. */
    RouteConfigReader(TomlValueReader values) {
        this.values = values;
        settingsReader = new RuleSettingsReader(values);
        patterns = new RoutePatternReader(values);
    }

    /** Reads the defaults, classes and routes, in this order. */
    List<RuleSection> read(JsonNode root) {
        values.requireKnownKeys(root, "", TOP_LEVEL_KEYS);
        requireVersion(root.get("version"));
        List<RuleSection> sections = new ArrayList<>();
        readDefaults(root.get("defaults"), sections);
        readClasses(root.get("class"), sections);
        readRoutes(root.get("route"), sections);
        return sections;
    }

    private void requireVersion(JsonNode version) {
        if (version == null) {
            values.error("version", "is missing", "write version = 1 at the top");
        } else if (!version.isInt() || version.intValue() != 1) {
            values.error("version", "is " + version + ", which this program does not support", "write version = 1");
        }
    }

    private void readDefaults(JsonNode table, List<RuleSection> sections) {
        if (values.requireTable(table, "defaults")) {
            values.requireKnownKeys(table, "defaults", RULE_KEYS);
            sections.add(new RuleSection(
                    Kind.DEFAULTS,
                    "defaults",
                    "defaults",
                    RoutePattern.ALL,
                    settingsReader.readSettings(table, "defaults", "defaults")));
        }
    }

    private void readClasses(JsonNode tables, List<RuleSection> sections) {
        if (values.requireTable(tables, "class")) {
            tables.properties().forEach(entry -> {
                String key = "class." + entry.getKey();
                if (values.requireTable(entry.getValue(), key)) {
                    values.requireKnownKeys(entry.getValue(), key, RULE_KEYS);
                    sections.add(new RuleSection(
                            Kind.CLASS,
                            key,
                            entry.getKey(),
                            new RoutePattern(entry.getKey(), null, List.of(), true),
                            settingsReader.readSettings(entry.getValue(), key, "class " + entry.getKey())));
                }
            });
        }
    }

    private void readRoutes(JsonNode routes, List<RuleSection> sections) {
        if (routes == null) {
            return;
        }
        if (!routes.isArray()) {
            values.error("route", "is not a list of tables", "write [[route]] before each route");
            return;
        }
        if (routes.size() > MAX_ROUTES) {
            values.error("route", "there are " + routes.size() + " routes", "write at most " + MAX_ROUTES);
            return;
        }
        Map<String, Integer> lineByName = new HashMap<>();
        for (int i = 0; i < routes.size(); i++) {
            String key = "route[" + i + "]";
            JsonNode route = routes.get(i);
            if (!values.requireTable(route, key)) {
                continue;
            }
            values.requireKnownKeys(route, key, ROUTE_KEYS);
            String name = readName(route, key, lineByName);
            RoutePattern pattern = patterns.readPattern(route, key);
            Map<RuleKey, Setting> settings = settingsReader.readSettings(route, key, "route " + name);
            if (pattern != null && name != null) {
                sections.add(new RuleSection(Kind.ROUTE, key, name, pattern, settings));
            }
        }
    }

    /**
     * Returns the route's name; null if it has none. Reports a name that is missing, invalid or used by another route.
     *
     * @param lineByName the lines of the routes read before, by name; this route is added to it
     */
    private String readName(JsonNode route, String key, Map<String, Integer> lineByName) {
        String name = values.readText(route, key, "name");
        if (name == null && route.get("name") == null) {
            values.error(key, "has no name", "give each route a unique name, such as name = \"cancel\"");
        } else if (name != null && !TomlValueReader.NAME_PATTERN.matcher(name).matches()) {
            values.error(
                    key + ".name",
                    "\"" + name + "\" is not a valid name",
                    "use 1 to 64 letters, digits, dots, - and _");
        } else if (name != null && lineByName.putIfAbsent(name, values.lineOf(key)) != null) {
            values.error(
                    key + ".name",
                    "\"" + name + "\" is the name of the route on line " + lineByName.get(name) + " too",
                    "give each route a unique name");
        }
        return name;
    }
}
