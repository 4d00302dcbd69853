package weldhitch.node;

/** A configuration that is missing or invalid; the message is one line and names the setting. */
final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final String SOURCE = "GW_CONFIG";

    InvalidConfigException(String message) {
        this(message, null);
    }

    InvalidConfigException(String message, Throwable cause) {
        super(message.lines().findFirst().orElse(""), cause);
    }

    /** A setting whose value is missing, which {@code found} calls "none", or invalid. */
    static InvalidConfigException invalidValue(String key, String found, String expected, Throwable cause) {
        return new InvalidConfigException(key + ": found " + found + ", expected " + expected, cause);
    }

    /** The configuration as a whole cannot be read. */
    static InvalidConfigException unreadable(String problem, Throwable cause) {
        return new InvalidConfigException(SOURCE + ": " + problem, cause);
    }

    /** The same problem, with the name of the file that has it. */
    InvalidConfigException inFile(String file) {
        String problem = getMessage().replaceFirst("^" + SOURCE + ": ", "");
        return new InvalidConfigException(SOURCE + " " + file + ": " + problem, this);
    }
}
