package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A listener whose full backlog stalls connection attempts until {@code release} is called. The kernel retransmits a
 * SYN one second after the first, so a stalled attempt takes at least that long. Used by one test thread.
 */
public final class StalledListener implements Closeable {
    private static final int BACKLOG = 1;

    private final ServerSocket listener;
    private final List<Closeable> openSockets = new CopyOnWriteArrayList<>();

    /** Starts to listen and fills the backlog. */
    public StalledListener() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        for (int i = 0; i <= BACKLOG; i++) {
            openSockets.add(new Socket(InetAddress.getLoopbackAddress(), listener.getLocalPort()));
        }
    }

    /** Returns the host and port on which it listens. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Waits until a connection attempt to this listener is pending (state SYN_SENT). */
    public void awaitConnectAttempt() {
        String connectAttemptPattern = String.format(Locale.ROOT, ":%04X 02", listener.getLocalPort());
        TestSupport.await(() -> hasMatchingLine("/proc/net/tcp", connectAttemptPattern)
                || hasMatchingLine("/proc/net/tcp6", connectAttemptPattern));
    }

    private static boolean hasMatchingLine(String procFile, String pattern) {
        try {
            return Files.readAllLines(Path.of(procFile)).stream().anyMatch(line -> line.contains(pattern));
        } catch (IOException e) {
            return false;
        }
    }

    /** Empties the backlog, so that connection attempts succeed, and returns the next accepted connection. */
    public TestConnection release() throws IOException {
        listener.setSoTimeout(TestSupport.TIMEOUT_SECONDS * 1000);
        for (int i = 0; i <= BACKLOG; i++) {
            openSockets.add(listener.accept());
        }
        TestConnection connection = new TestConnection(listener.accept());
        openSockets.add(connection);
        return connection;
    }

    /** Empties the backlog and runs the handler for each connection accepted from now on, on separate threads. */
    public void release(ConnectionHandler handler) {
        TestSupport.startDaemon(() -> {
            for (TestConnection connection = release(); ; connection = new TestConnection(listener.accept())) {
                TestConnection accepted = connection;
                TestSupport.startDaemon(() -> handler.handle(accepted));
            }
        });
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Closeable socket : openSockets) {
            socket.close();
        }
    }
}
