package weldhitch.operator;

import java.util.EnumMap;
import java.util.Map;
import weldhitch.decision.RoutePattern;

/**
 * A part of the file that sets rules: the defaults, a class or a route.
 *
 * @param key where it stands in the file, such as {@code route[0]}
 * @param name a route's or class's name
 * @param pattern what it matches
 */
record Section(Kind kind, String key, String name, RoutePattern pattern, Map<Key, Setting> rules) {
    enum Kind { DEFAULTS, CLASS, ROUTE }

    /** A rule as set; {@code key} is where, and {@code source} how people call that place. */
    record Setting(Object value, String key, int line, String source) {
    }

    /** Rules of this section over those of a wider one. */
    Map<Key, Setting> over(Map<Key, Setting> wider) {
        Map<Key, Setting> merged = new EnumMap<>(Key.class);
        merged.putAll(wider);
        merged.putAll(rules);
        return merged;
    }
}
