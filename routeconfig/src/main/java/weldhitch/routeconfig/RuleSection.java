package weldhitch.routeconfig;

import java.util.EnumMap;
import java.util.Map;
import weldhitch.decision.routing.RoutePattern;

/**
 * A section of the file that makes settings: the defaults, a class or a route. Immutable.
 *
 * @param kind what the section is
 * @param key its key in the file, such as {@code route[0]}
 * @param name a route's or class's name
 * @param pattern the requests that it matches
 * @param settings its settings
 */
record RuleSection(Kind kind, String key, String name, RoutePattern pattern, Map<RuleKey, Setting> settings) {
    /** Kinds of sections, from wide to narrow; the order is the rank of the routes made from them. */
    enum Kind {
        DEFAULTS,
        CLASS,
        ROUTE
    }

    /**
     * A setting as made in the file. Immutable.
     *
     * @param value of the type that belongs to its key
     * @param key its full key in the file
     * @param line the line of that key
     * @param source how messages refer to the section that makes it
     */
    record Setting(Object value, String key, int line, String source) {}

    /** The settings of this section, and those of a wider one that this one does not make. */
    Map<RuleKey, Setting> mergedOver(Map<RuleKey, Setting> wider) {
        Map<RuleKey, Setting> merged = new EnumMap<>(RuleKey.class);
        merged.putAll(wider);
        merged.putAll(settings);
        return merged;
    }
}
