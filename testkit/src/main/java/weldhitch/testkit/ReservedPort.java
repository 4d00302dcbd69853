package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * Reserves a loopback port for a listener that starts later, by a socket that is bound to it and does not
 * listen. The kernel then assigns the port neither as an ephemeral port nor to an outgoing connection,
 * refuses connection attempts to it, and lets a listener bind to it explicitly, any number of times. A port
 * that was only looked up and released may be taken by any connection in between. Immutable.
 */
public final class ReservedPort implements Closeable {
    private final Socket reservingSocket = new Socket();

    /** Reserves a free port at once. */
    public ReservedPort() throws IOException {
        // Both sockets need SO_REUSEADDR; Java's server channels set it by themselves.
        reservingSocket.setReuseAddress(true);
        reservingSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** The reserved port. */
    public int number() {
        return reservingSocket.getLocalPort();
    }

    /** Host and port. */
    public String address() {
        return "127.0.0.1:" + number();
    }

    @Override
    public void close() throws IOException {
        reservingSocket.close();
    }
}
