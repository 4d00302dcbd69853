package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Scans the bytes of a response head for a line that is no header. Netty's decoder takes such a line for a
 * header without a value, so an invalid head would pass for a valid one. Heads of 1xx responses may precede.
 * One per {@link ServerConnection}; not thread-safe.
 */
final class HeadLines implements ByteProcessor {
    private static final int STATUS_CLASS_AT = "HTTP/1.1 ".length();

    private boolean reading;
    private boolean sound;
    private boolean statusLine;
    private boolean interim;
    private boolean colon;
    private int length;

    /** A request is being sent: the next byte is the first of its response's head. */
    void expect() {
        reading = true;
        sound = true;
        nextHead();
    }

    private void nextHead() {
        statusLine = true;
        interim = false;
        nextLine();
    }

    private void nextLine() {
        colon = false;
        length = 0;
    }

    /** Whether all of the head received so far is valid. */
    boolean sound(ByteBuf bytes) {
        if (reading) {
            bytes.forEachByte(this);
        }
        return sound;
    }

    @Override
    public boolean process(byte value) {
        if (value == '\r') {
            return true;
        }
        if (value != '\n') {
            interim |= statusLine && length == STATUS_CLASS_AT && value == '1';
            // A line that starts with whitespace continues the header before it (obs-fold).
            colon |= value == ':' || length == 0 && (value == ' ' || value == '\t');
            length++;
            return true;
        }
        if (statusLine) {
            statusLine = false;
        } else if (length > 0) {
            sound &= colon;
        } else if (interim) {
            nextHead();
            return sound;
        } else {
            reading = false;
        }
        nextLine();
        return sound && reading;
    }
}
