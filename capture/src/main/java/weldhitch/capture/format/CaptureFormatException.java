package weldhitch.capture.format;

import java.io.IOException;

/** Thrown when a file's content is not a valid capture or cannot be read by this build. */
public final class CaptureFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    CaptureFormatException(String message) {
        super(message);
    }

    CaptureFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
