package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * Reserves a loopback port for a listener that starts later, with a socket that is bound to the port and does not
 * listen. While it is reserved, the kernel assigns the port neither as an ephemeral port nor to an outgoing
 * connection, refuses connection attempts to it, and lets a listener bind to it explicitly any number of times.
 * Without the reservation any connection could take the port before the listener starts. Immutable.
 */
public final class ReservedPort implements Closeable {
    private final Socket reservingSocket = new Socket();

    /** Reserves a free port. */
    public ReservedPort() throws IOException {
        // Both sockets need SO_REUSEADDR; Java sets it on server channels by default.
        reservingSocket.setReuseAddress(true);
        reservingSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Returns the reserved port. */
    public int number() {
        return reservingSocket.getLocalPort();
    }

    /** Returns the host and port. */
    public String address() {
        return "127.0.0.1:" + number();
    }

    @Override
    public void close() throws IOException {
        reservingSocket.close();
    }
}
