package weldhitch.decision;

/** Checks that settings are within their range; called by the settings records. Stateless. */
final class SettingRange {
    private SettingRange() {}

    /**
     * Rejects a setting that is out of range.
     *
     * @param sound whether it is in range
     * @param setting its name in configuration files
     * @throws IllegalArgumentException if it is out of range; names the setting, the actual and the expected
     * value
     */
    static void require(boolean sound, String setting, Object found, String expected) {
        if (!sound) {
            throw new IllegalArgumentException(
                    "setting out of range: " + setting + ": found " + found + ", expected " + expected);
        }
    }
}
