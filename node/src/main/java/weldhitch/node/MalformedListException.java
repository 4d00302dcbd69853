package weldhitch.node;

import java.io.IOException;

/** Thrown for valid JSON that is not an endpoint list in the discovery service's format. */
final class MalformedListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedListException(String problem) {
        super("list: " + problem);
    }

    MalformedListException(String problem, Throwable cause) {
        super("list: " + problem, cause);
    }
}
