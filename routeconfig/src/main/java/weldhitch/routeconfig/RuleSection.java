package weldhitch.routeconfig;

import java.util.EnumMap;
import java.util.Map;
import weldhitch.decision.routing.RoutePattern;

/**
 * A section of the file that contains settings: the defaults, a class or a route. Immutable.
 *
 * @param kind the kind of the section
 * @param key the section's key in the file, such as {@code route[0]}
 * @param name the name of the route or class; {@code defaults} for the defaults
 * @param pattern the requests that the section applies to
 * @param settings the section's settings
 */
record RuleSection(Kind kind, String key, String name, RoutePattern pattern, Map<RuleKey, Setting> settings) {
    /** The kinds of sections, from wide to narrow. The order is the precedence of the routes compiled from them. */
    enum Kind {
        DEFAULTS,
        CLASS,
        ROUTE
    }

    /**
     * A setting as read from the file. Immutable.
     *
     * @param value the value, whose type depends on the key
     * @param key the full key in the file
     * @param line the line of that key
     * @param source the name by which messages refer to the section that contains the setting
     */
    record Setting(Object value, String key, int line, String source) {}

    /** Returns the settings of this section, and those of a wider section that this one does not override. */
    Map<RuleKey, Setting> mergedOver(Map<RuleKey, Setting> wider) {
        Map<RuleKey, Setting> merged = new EnumMap<>(RuleKey.class);
        merged.putAll(wider);
        merged.putAll(settings);
        return merged;
    }
}
