package weldhitch.capture.format;

import java.io.IOException;

/** What a file holds can't be a capture, or can't be read by this build. */
public final class CaptureFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    CaptureFormatException(String message) {
        super(message);
    }

    CaptureFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
