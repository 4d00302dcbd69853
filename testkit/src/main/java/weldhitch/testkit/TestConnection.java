package weldhitch.testkit;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A TCP connection of a test, with blocking reads of HTTP messages and of the end of the stream. Every read times
 * out after {@link TestSupport#TIMEOUT_SECONDS} seconds. Not thread-safe: only one thread may read at a time.
 */
public final class TestConnection implements Closeable {
    public final Socket socket;
    private final InputStream input;

    /** Wraps a connected socket and sets its read timeout. */
    public TestConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TestSupport.TIMEOUT_SECONDS * 1000);
        input = new java.io.BufferedInputStream(socket.getInputStream());
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

    /** Reads a message head including its empty line; returns null at the end of the stream. */
    public String readHead() throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        for (int nextByte = input.read(); nextByte >= 0; nextByte = input.read()) {
            buffer.write(nextByte);
            String headText = buffer.toString(StandardCharsets.ISO_8859_1);
            if (headText.endsWith("\r\n\r\n")) {
                return headText;
            }
        }
        if (buffer.size() > 0) {
            throw new EOFException("stream ended within a message head: " + buffer);
        }
        return null;
    }

    /**
     * Reads a message whose body has the length stated in Content-Length, or no body without that header; returns null
     * at the end of the stream.
     */
    public RawHttpMessage readMessage() throws IOException {
        String head = readHead();
        if (head == null) {
            return null;
        }
        String length = RawHttpMessage.header(head, "content-length");
        byte[] body = input.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new RawHttpMessage(head, body);
    }

    /** Reads all bytes until the end of the stream. */
    public byte[] readToEnd() throws IOException {
        return input.readAllBytes();
    }

    /** Reads {@code count} bytes, or fewer if the stream ends before. */
    public byte[] readBytes(int count) throws IOException {
        return input.readNBytes(count);
    }

    /** Blocks until the peer closes or resets the connection, or a byte arrives; returns whether it was closed. */
    public boolean isClosedByPeer() throws IOException {
        try {
            return input.read() < 0;
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
