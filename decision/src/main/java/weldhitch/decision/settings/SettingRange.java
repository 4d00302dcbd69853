package weldhitch.decision.settings;

/** Checks that settings are within their range; called by the settings records. Stateless. */
final class SettingRange {
    private SettingRange() {}

    /**
     * Rejects a setting that is out of range.
     *
     * @param valid whether the setting is in range
     * @param setting the setting's name in configuration files
     * @throws IllegalArgumentException if the setting is out of range; the message names the setting, its actual value
     *     and the expected one
     */
    static void require(boolean valid, String setting, Object actual, String expected) {
        if (!valid) {
            throw new IllegalArgumentException(
                    "setting out of range: " + setting + ": found " + actual + ", expected " + expected);
        }
    }
}
