package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for a server of the protocol page: HTTP/1.1, one request at a time on a connection. */
final class Server implements AutoCloseable {
    /** A request as it was received with its last byte. */
    record Received(String method, String target, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.get("x-trace-id");
        }
    }

    /** Answers a request; returns the bytes to send, or null to reset the connection. Called once the request is whole. */
    interface Handler {
        byte[] answer(Received request) throws Exception;
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final List<Socket> sockets = new ArrayList<>();

    Server(Handler handler) throws IOException {
        this(0, handler);
    }

    Server(int port, Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(Lab.loopback(port), 200);
        Thread acceptor = new Thread(this::accept, "server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                synchronized (sockets) {
                    sockets.add(socket);
                }
                Thread thread = new Thread(() -> serve(socket), "connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Received request = read(in); request != null; request = read(in)) {
                byte[] answer = handler.answer(request);
                if (answer == null) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                socket.getOutputStream().write(answer);
                socket.getOutputStream().flush();
            }
        } catch (Exception e) {
            // The peer has gone, or this server has been closed.
        }
    }

    static Received read(InputStream in) throws IOException {
        String requestLine = line(in);
        if (requestLine == null) {
            return null;
        }
        String[] parts = requestLine.split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Received(parts[0], parts[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    static byte[] ok(String body) {
        return response("200 OK", body);
    }

    static byte[] response(String status, String body) {
        return ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Ends like a process that dies: resets all connections; new ones are refused. */
    void die() throws IOException {
        listener.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                } catch (IOException e) {
                    // Closed already.
                }
                socket.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        die();
    }
}
