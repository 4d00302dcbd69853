package weldhitch.testkit;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * One TCP connection of a test, with blocking reads of HTTP messages and of the end of the stream. Every read
 * times out after {@link Tests#WAIT_S} seconds. Not thread-safe: one thread reads at a time.
 */
public final class Wire implements Closeable {
    public final Socket socket;
    private final InputStream in;

    /** Wraps a connected socket and sets its read timeout. */
    public Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(Tests.WAIT_S * 1000);
        in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    /** Writes the text in ISO 8859-1 and flushes. */
    public void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes the bytes and flushes. */
    public void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Reads a message head including its empty line; null at the end of the stream. */
    public String head() throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.write(b);
            String text = head.toString(StandardCharsets.ISO_8859_1);
            if (text.endsWith("\r\n\r\n")) {
                return text;
            }
        }
        if (head.size() > 0) {
            throw new EOFException("a broken head: " + head);
        }
        return null;
    }

    /** Reads a complete message by its Content-Length (0 without one); null at the end of the stream. */
    public Message message() throws IOException {
        String head = head();
        if (head == null) {
            return null;
        }
        String length = Message.field(head, "content-length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new Message(head, body);
    }

    /** Reads all bytes up to the end of the stream. */
    public byte[] rest() throws IOException {
        return in.readAllBytes();
    }

    /** Reads {@code count} bytes, or fewer where the stream ends before. */
    public byte[] bytes(int count) throws IOException {
        return in.readNBytes(count);
    }

    /** Whether the peer closes or resets the connection; blocks until it does or a byte arrives. */
    public boolean ends() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    /** Closes the connection with a TCP reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
