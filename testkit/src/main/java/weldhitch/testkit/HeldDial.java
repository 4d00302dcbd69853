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
 * A listener whose full backlog stalls connection attempts until it is released. The kernel retransmits a
 * SYN one second after the first, so a stalled attempt takes at least that long. Used from one test thread.
 */
public final class HeldDial implements Closeable {
    private static final int BACKLOG = 1;

    private final ServerSocket listener;
    private final List<Closeable> open = new CopyOnWriteArrayList<>();

    /** Listens and fills the backlog at once. */
    public HeldDial() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        for (int i = 0; i <= BACKLOG; i++) {
            open.add(new Socket(InetAddress.getLoopbackAddress(), listener.getLocalPort()));
        }
    }

    /** Host and port. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Waits until a connection attempt to it is under way (state SYN_SENT). */
    public void awaitDial() {
        String port = String.format(Locale.ROOT, ":%04X 02", listener.getLocalPort());
        Tests.await(() -> lines("/proc/net/tcp", port) || lines("/proc/net/tcp6", port));
    }

    private static boolean lines(String table, String port) {
        try {
            return Files.readAllLines(Path.of(table)).stream().anyMatch(line -> line.contains(port));
        } catch (IOException e) {
            return false;
        }
    }

    /** Empties the backlog, so that connection attempts succeed, and waits for one. */
    public Wire release() throws IOException {
        listener.setSoTimeout(Tests.WAIT_S * 1000);
        for (int i = 0; i <= BACKLOG; i++) {
            open.add(listener.accept());
        }
        Wire wire = new Wire(listener.accept());
        open.add(wire);
        return wire;
    }

    /** Empties the backlog and hands each connection, now and later, to this handler on a thread of its own. */
    public void release(Behaviour behaviour) {
        Tests.daemon(() -> {
            for (Wire wire = release(); ; wire = new Wire(listener.accept())) {
                Wire next = wire;
                Tests.daemon(() -> behaviour.serve(next));
            }
        });
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Closeable each : open) {
            each.close();
        }
    }
}
