package weldhitch.testkit;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection as a test's peer sees it, with reads of HTTP messages and of their end. */
public final class Wire implements Closeable {
    public final Socket socket;
    private final InputStream in;

    public Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(Tests.WAIT_S * 1000);
        in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    public void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** A head up to its empty line; null at the connection's end. */
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

    /** A message with a Content-Length, read whole. */
    public Message message() throws IOException {
        String head = head();
        if (head == null) {
            return null;
        }
        String length = Message.field(head, "content-length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new Message(head, body);
    }

    /** The rest of what comes, to the connection's end. */
    public byte[] rest() throws IOException {
        return in.readAllBytes();
    }

    public byte[] bytes(int count) throws IOException {
        return in.readNBytes(count);
    }

    /** Whether the peer ends the connection, by closing or by a reset. */
    public boolean ends() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
