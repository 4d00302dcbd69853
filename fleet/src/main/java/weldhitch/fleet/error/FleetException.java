package weldhitch.fleet.error;

/** Carries a {@link FleetError} to the code that reports it. Immutable. */
public final class FleetException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Not serialized, so null after deserialization. No code serializes this exception. */
    private final transient FleetError error;

    /** Creates an exception with the error's one-line message. */
    public FleetException(FleetError error) {
        super(error.message());
        this.error = error;
    }

    /** Returns the error. */
    public FleetError error() {
        return error;
    }
}
