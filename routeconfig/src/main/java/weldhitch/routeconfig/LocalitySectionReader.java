package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.settings.Tenant;
import weldhitch.fleet.locality.LocalityRule;
import weldhitch.fleet.locality.LocalityRule.Match;
import weldhitch.fleet.locality.LocalityRule.SpillPolicy;
import weldhitch.fleet.locality.LocalityRules;
import weldhitch.fleet.locality.Regions;

/**
 * Reads {@code [zones]} and {@code [[locality]]} and checks them against the platform. One pass reports all problems
 * to the {@link TomlValueReader}. Used by {@link RouteConfigParser} for one file; not thread-safe.
 */
final class LocalitySectionReader {
    private static final int MAX_RULES = 200;
    private static final List<String> ZONES_KEYS = List.of("rate", "regions");
    private static final List<String> RULE_KEYS = List.of(
            "name", "class", "tenant", "route", "prefer", "never", "use", "healthy", "late", "dwell", "most", "growth",
            "alone", "panic");
    private static final List<String> BUILT_IN_PREFERENCES =
            List.of(LocalityRule.OWN_ZONE, LocalityRule.OWN_REGION, LocalityRule.ANY);
    private final TomlValueReader values;
    private final BalancerSettings platform;
    private final Set<String> routeNames;
    /** The platform's zones; empty if they are not known, in which case names of zones are not checked. */
    private final Set<String> platformZones;

    private final Set<String> preferenceNames = new LinkedHashSet<>(BUILT_IN_PREFERENCES);
    private final Set<String> zoneAndRegionNames = new LinkedHashSet<>();
    private Regions regions = new Regions(Map.of());
    private boolean valid = true;

    /**
     * Creates a section reader that reports problems to {@code values}.
     *
     * @param platform the platform's settings, or null if they are not known
     * @param routeNames names of the file's routes
     */
    LocalitySectionReader(TomlValueReader values, BalancerSettings platform, Set<String> routeNames) {
        this.values = values;
        this.platform = platform;
        this.routeNames = routeNames;
        platformZones = platform == null ? Set.of() : new TreeSet<>(platform.zones());
    }

    /** Returns the locality rules; null if there are none or they have errors. */
    LocalityRules read(JsonNode root) {
        JsonNode zonesTable = root.get("zones");
        JsonNode ruleTables = root.get("locality");
        if (zonesTable == null && ruleTables == null) {
            return null;
        }
        Double capacityPerWeight = null;
        if (zonesTable == null) {
            error(
                    "locality",
                    "[zones] is missing",
                    "write [zones] with regions and rate, the requests a second that a server of weight 1 can serve");
        } else if (values.requireTable(zonesTable, "zones")) {
            valid &= values.requireKnownKeys(zonesTable, "zones", ZONES_KEYS);
            if (zonesTable.has("rate")) {
                capacityPerWeight = readNumber(zonesTable.get("rate"), "zones.rate", 0.001, 1e6);
            } else {
                error(
                        "zones",
                        "rate is missing",
                        "write rate = 40.0, the requests a second that a server of weight 1 can serve");
            }
            readRegions(zonesTable.get("regions"));
        } else {
            valid = false;
        }
        preferenceNames.addAll(regions.zones().keySet());
        zoneAndRegionNames.addAll(regions.zones().keySet());
        zoneAndRegionNames.addAll(platformZones);
        List<LocalityRule> rules = readRules(ruleTables);
        return valid && capacityPerWeight != null && !rules.isEmpty()
                ? new LocalityRules(regions, capacityPerWeight, rules)
                : null;
    }

    private void readRegions(JsonNode table) {
        if (table == null) {
            return;
        }
        if (!values.requireTable(table, "zones.regions")) {
            valid = false;
            return;
        }
        Map<String, Set<String>> zonesByRegion = new LinkedHashMap<>();
        Map<String, String> regionByZone = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> entry : table.properties()) {
            String key = "zones.regions." + entry.getKey();
            if (BUILT_IN_PREFERENCES.contains(entry.getKey()) || platformZones.contains(entry.getKey())) {
                error(
                        key,
                        "is the name of "
                                + (BUILT_IN_PREFERENCES.contains(entry.getKey()) ? "a built-in preference" : "a zone")
                                + " too",
                        "give the region another name");
            }
            Set<String> regionZones = readNames(entry.getValue(), key, "[\"zone-a\", \"zone-b\"]");
            for (String zone : regionZones) {
                String otherRegion = regionByZone.putIfAbsent(zone, entry.getKey());
                if (otherRegion != null) {
                    error(
                            key,
                            "zone " + zone + " is in region " + otherRegion + " too",
                            "list each zone in one region only");
                }
                checkZoneKnown(zone, key);
            }
            zonesByRegion.put(entry.getKey(), regionZones);
        }
        if (valid) {
            regions = new Regions(zonesByRegion);
        }
    }

    private void checkZoneKnown(String zone, String key) {
        if (!platformZones.isEmpty() && !platformZones.contains(zone)) {
            error(
                    key,
                    "the platform has no zone \"" + zone + "\"",
                    () -> SpellingSuggestions.suggest(zone, platformZones));
        }
    }

    private List<LocalityRule> readRules(JsonNode ruleTables) {
        List<LocalityRule> rules = new ArrayList<>();
        if (ruleTables == null) {
            return rules;
        }
        if (!ruleTables.isArray() || ruleTables.size() > MAX_RULES) {
            error(
                    "locality",
                    ruleTables.isArray() ? "there are " + ruleTables.size() + " rules" : "is not a list of tables",
                    ruleTables.isArray() ? "write at most " + MAX_RULES : "write [[locality]] before each rule");
            return rules;
        }
        Map<String, String> keyByName = new LinkedHashMap<>();
        for (int i = 0; i < ruleTables.size(); i++) {
            String key = "locality[" + i + "]";
            if (!values.requireTable(ruleTables.get(i), key)) {
                valid = false;
                continue;
            }
            LocalityRule rule = readRule(ruleTables.get(i), key);
            if (rule != null) {
                String previousKey = keyByName.putIfAbsent(rule.name(), key);
                if (previousKey != null) {
                    error(
                            key + ".name",
                            "\"" + rule.name() + "\" is the name of another rule too",
                            "give each rule a unique name");
                }
                rules.stream()
                        .filter(earlier -> covers(earlier.match(), rule.match()))
                        .findFirst()
                        .ifPresent(covering -> error(
                                key,
                                "never applies: rule \"" + covering.name() + "\" above it matches all its requests",
                                "put the narrower rule first"));
                rules.add(rule);
            }
        }
        return rules;
    }

    private static boolean covers(Match broader, Match narrower) {
        return (broader.requestClass() == null || broader.requestClass().equals(narrower.requestClass()))
                && (broader.tenant() == null || broader.tenant().equals(narrower.tenant()))
                && (broader.route() == null || broader.route().equals(narrower.route()));
    }

    private LocalityRule readRule(JsonNode table, String key) {
        boolean validBefore = valid;
        valid = values.requireKnownKeys(table, key, RULE_KEYS);
        String name = readText(table, key, "name");
        if (name == null || !TomlValueReader.NAME_PATTERN.matcher(name).matches()) {
            error(
                    name == null ? key : key + ".name",
                    name == null ? "has no name" : "\"" + name + "\" is not a valid name",
                    "give each rule a unique name of letters, digits, dots, - and _");
        }
        Match match = readMatch(table, key);
        List<String> preferences = readPreferences(table.get("prefer"), key);
        Set<String> forbidden = readForbidden(table.get("never"), key);
        SpillPolicy spillPolicy = new SpillPolicyReader(values).read(table, key);
        valid &= spillPolicy != null;
        boolean panic = readPanic(table.get("panic"), key);
        boolean ruleValid = valid;
        valid &= validBefore;
        if (!ruleValid) {
            return null;
        }
        LocalityRule rule = new LocalityRule(name, match, preferences, forbidden, spillPolicy, panic);
        checkSomeZonePermitted(rule, key);
        return rule;
    }

    private Match readMatch(JsonNode table, String key) {
        Match match =
                new Match(readText(table, key, "class"), readText(table, key, "tenant"), readText(table, key, "route"));
        if (match.requestClass() != null && platform != null) {
            checkKnown(
                    match.requestClass(),
                    platform.classes().stream().map(RequestClass::name).toList(),
                    key + ".class",
                    "the platform has no class");
        }
        if (match.tenant() != null && platform != null && !platform.tenants().isEmpty()) {
            checkKnown(
                    match.tenant(),
                    platform.tenants().stream().map(Tenant::name).toList(),
                    key + ".tenant",
                    "the platform has no tenant");
        }
        if (match.route() != null) {
            checkKnown(match.route(), routeNames, key + ".route", "this file has no route");
        }
        return match;
    }

    private List<String> readPreferences(JsonNode value, String key) {
        List<String> preferences = new ArrayList<>();
        if (value == null) {
            error(key, "prefer is missing", "write prefer = [\"own-zone\", \"own-region\", \"any\"]");
            return preferences;
        }
        boolean anyListed = false;
        for (String preference : readNames(value, key + ".prefer", "[\"own-zone\", \"own-region\", \"any\"]")) {
            checkKnown(preference, preferenceNames, key + ".prefer", "there is no built-in preference or region");
            if (anyListed) {
                error(
                        key + ".prefer",
                        "\"" + preference + "\" comes after \"any\", which includes all other zones",
                        "put \"any\" last");
            }
            anyListed |= preference.equals(LocalityRule.ANY);
            preferences.add(preference);
        }
        return preferences;
    }

    private Set<String> readForbidden(JsonNode value, String key) {
        Set<String> forbidden = value == null ? Set.of() : readNames(value, key + ".never", "[\"east\"]");
        for (String name : forbidden) {
            if (!platformZones.isEmpty() || !regions.zones().isEmpty() && platform != null) {
                checkKnown(name, zoneAndRegionNames, key + ".never", "there is no region or zone");
            }
        }
        return forbidden;
    }

    /**
     * Reports a rule that leaves the requests of some zone without a permitted zone: nodes in that zone would reject
     * all of these requests from the start.
     */
    private void checkSomeZonePermitted(LocalityRule rule, String key) {
        for (String localZone : platformZones) {
            if (regions.priorityLevels(rule, localZone, platformZones).stream().allMatch(Set::isEmpty)) {
                error(
                        key + ".never",
                        "leaves requests that arrive in zone " + localZone + " without a permitted zone",
                        "forbid fewer zones, or add further preferences");
                return;
            }
        }
    }

    private boolean readPanic(JsonNode value, String key) {
        if (value != null && !value.isBoolean()) {
            error(key + ".panic", value + " is neither true nor false", "write panic = true or panic = false");
        }
        return value == null || value.booleanValue();
    }

    private void checkKnown(String name, Collection<String> knownNames, String key, String description) {
        if (!knownNames.contains(name)) {
            error(key, description + " \"" + name + "\"", () -> SpellingSuggestions.suggest(name, knownNames));
        }
    }

    private Set<String> readNames(JsonNode value, String key, String example) {
        Set<String> names = new LinkedHashSet<>();
        if (!value.isArray() || value.isEmpty()) {
            error(key, value + " is not a list of names", "write " + example);
            return names;
        }
        for (JsonNode element : value) {
            if (!element.isTextual()
                    || !TomlValueReader.NAME_PATTERN
                            .matcher(element.textValue())
                            .matches()) {
                error(key, element + " is not a valid name", "write " + example);
            } else if (!names.add(element.textValue())) {
                error(key, "\"" + element.textValue() + "\" is listed twice", "list it once");
            }
        }
        return names;
    }

    private String readText(JsonNode table, String parentKey, String name) {
        String text = values.readText(table, parentKey, name);
        valid &= text != null || !table.has(name);
        return text;
    }

    private Double readNumber(JsonNode value, String key, double min, double max) {
        Double number = values.readNumber(value, key, min, max);
        valid &= number != null;
        return number;
    }

    private void error(String key, String description, String remedy) {
        error(key, description, () -> remedy);
    }

    private void error(String key, String description, Supplier<String> remedy) {
        valid = false;
        values.error(key, description, remedy);
    }
}
