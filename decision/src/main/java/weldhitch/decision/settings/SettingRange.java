package weldhitch.decision.settings;

/** Checks that settings are within their range; called by the settings records. Stateless. */
final class SettingRange {
    private SettingRange() {}

    /**
     * Rejects a setting that is out of range.
     *
     * @param valid whether it is in range
     * @param setting its name in configuration files
     * @throws IllegalArgumentException if it is out of range; names the setting, the actual and the expected
     * value
     */
    static void require(boolean valid, String setting, Object actual, String expected) {
        if (!valid) {
            throw new IllegalArgumentException(
                    "setting out of range: " + setting + ": found " + actual + ", expected " + expected);
        }
    }
}
