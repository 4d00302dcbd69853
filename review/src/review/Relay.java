package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Passes bytes between a client and a node unchanged and without delay, and notes the requests that contain a text, with
 * their answers. A connection carries one request at a time.
 */
final class Relay implements AutoCloseable {
    private final Lab lab;
    private final int target;
    private final String noted;
    private final ServerSocket listener;

    Relay(Lab lab, int target, String noted) throws IOException {
        this.lab = lab;
        this.target = target;
        this.noted = noted;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Socket node = new Socket();
                node.connect(Lab.loopback(target), 1000);
                client.setTcpNoDelay(true);
                node.setTcpNoDelay(true);
                boolean[] awaited = new boolean[1];
                start(() -> copy(client, node, text -> requestPassed(text, awaited)));
                start(() -> copy(node, client, text -> answerPassed(text, awaited)));
            } catch (IOException e) {
                // The node takes no connection, or this relay has been closed.
            }
        }
    }

    private interface Observer {
        void passed(String text);
    }

    private static void copy(Socket from, Socket to, Observer observer) {
        byte[] buffer = new byte[64 * 1024];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                observer.passed(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // A side has gone; both are closed.
        }
    }

    private void requestPassed(String text, boolean[] awaited) {
        if (text.contains(noted)) {
            synchronized (awaited) {
                awaited[0] = true;
            }
            lab.note("app sends to n1: " + text.lines().findFirst().orElse("") + " " + header(text, "X-Trace-Id") + " "
                    + header(text, "Idempotency-Key") + " " + header(text, "X-Expires-In"));
        }
    }

    private void answerPassed(String text, boolean[] awaited) {
        synchronized (awaited) {
            if (!awaited[0]) {
                return;
            }
            awaited[0] = false;
        }
        lab.note("n1 answers the app: " + text.lines().findFirst().orElse("") + " " + header(text, "Retry-After"));
    }

    private static String header(String text, String name) {
        Matcher matcher = Pattern.compile("(?im)^" + name + ":.*$").matcher(text);
        return matcher.find() ? matcher.group().trim() : "";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
