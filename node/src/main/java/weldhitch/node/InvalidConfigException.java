package weldhitch.node;

/** Thrown for a configuration that is missing or invalid; the message is one line and names the setting. */
final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final String SOURCE = "GW_CONFIG";

    InvalidConfigException(String message) {
        this(message, null);
    }

    InvalidConfigException(String message, Throwable cause) {
        super(message.lines().findFirst().orElse(""), cause);
    }

    /** Creates the error for a setting that is invalid or missing; {@code found} is "none" for a missing one. */
    static InvalidConfigException invalidValue(String key, String found, String expected, Throwable cause) {
        return new InvalidConfigException(key + ": found " + found + ", expected " + expected, cause);
    }

    /** Creates the error for a configuration that cannot be read at all. */
    static InvalidConfigException unreadable(String problem, Throwable cause) {
        return new InvalidConfigException(SOURCE + ": " + problem, cause);
    }

    /** Creates the same error with the name of the file in which it occurs. */
    InvalidConfigException inFile(String file) {
        String problem = getMessage().replaceFirst("^" + SOURCE + ": ", "");
        return new InvalidConfigException(SOURCE + " " + file + ": " + problem, this);
    }
}
