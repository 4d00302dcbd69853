package weldhitch.node;

import java.io.IOException;

/** Thrown for a text that is not a numeric address and port. */
final class MalformedAddressException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedAddressException(String text) {
        super("expected a numeric address and port, found " + text);
    }
}
