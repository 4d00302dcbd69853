package weldhitch.node;

import java.io.IOException;

/** An endpoint list that is valid JSON but not a list in the discovery service's format. */
final class MalformedListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedListException(String problem) {
        super("list: " + problem);
    }

    MalformedListException(String problem, Throwable cause) {
        super("list: " + problem, cause);
    }
}
