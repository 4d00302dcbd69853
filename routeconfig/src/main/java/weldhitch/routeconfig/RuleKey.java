package weldhitch.routeconfig;

/** The settings that a route, a class or the defaults may contain, with their keys in the file. Immutable. */
enum RuleKey {
    DEADLINE("deadline"),
    ATTEMPT_TIMEOUT("attempt-timeout"),
    ATTEMPTS("attempts"),
    BACKOFF("backoff"),
    RETRY_ON("retry-on"),
    BUDGET("budget"),
    HEDGE("hedge"),
    RETRY_AFTER("retry-after"),
    TENANTS("tenants"),
    EXPECTED_RATE("expected-per-second");

    final String tomlName;

    RuleKey(String tomlName) {
        this.tomlName = tomlName;
    }

    /** Returns the setting with this key, or null if there is none. */
    static RuleKey fromTomlName(String tomlName) {
        for (RuleKey key : values()) {
            if (key.tomlName.equals(tomlName)) {
                return key;
            }
        }
        return null;
    }
}
