package weldhitch.fleet.error;

/** Carries a {@link FleetError} to where it is reported. Immutable. */
public final class FleetException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Not serialized: null after deserialization. Nothing serializes this exception. */
    private final transient FleetError error;

    /** Creates an exception whose message is the error's line. */
    public FleetException(FleetError error) {
        super(error.message());
        this.error = error;
    }

    /** The error. */
    public FleetError error() {
        return error;
    }
}
