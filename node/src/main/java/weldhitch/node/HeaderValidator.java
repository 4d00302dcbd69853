package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Scans the bytes of a response head for lines that are not headers. Netty's decoder treats such a line as a header
 * without a value, so that an invalid head would be accepted. The heads of preceding 1xx responses are scanned too. One
 * per {@link ServerConnection}; not thread-safe.
 */
final class HeaderValidator implements ByteProcessor {
    private static final int STATUS_CLASS_OFFSET = "HTTP/1.1 ".length();

    private boolean inHead;
    private boolean valid;
    private boolean inStatusLine;
    private boolean informational;
    private boolean colonSeen;
    private int lineLength;

    /** Called when a request is sent: the next byte received is the first of its response's head. */
    void expectResponse() {
        inHead = true;
        valid = true;
        startHead();
    }

    private void startHead() {
        inStatusLine = true;
        informational = false;
        startLine();
    }

    private void startLine() {
        colonSeen = false;
        lineLength = 0;
    }

    /** Scans the bytes and returns whether everything received of the head so far is valid. */
    boolean valid(ByteBuf bytes) {
        if (inHead) {
            bytes.forEachByte(this);
        }
        return valid;
    }

    @Override
    public boolean process(byte value) {
        if (value == '\r') {
            return true;
        }
        if (value != '\n') {
            informational |= inStatusLine && lineLength == STATUS_CLASS_OFFSET && value == '1';
            // A line that starts with whitespace continues the header before it (obs-fold).
            colonSeen |= value == ':' || lineLength == 0 && (value == ' ' || value == '\t');
            lineLength++;
            return true;
        }
        if (inStatusLine) {
            inStatusLine = false;
        } else if (lineLength > 0) {
            valid &= colonSeen;
        } else if (informational) {
            startHead();
            return valid;
        } else {
            inHead = false;
        }
        startLine();
        return valid && inHead;
    }
}
