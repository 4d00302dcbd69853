package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A port of loopback for a listener that comes later. A socket that is bound to it and does not listen keeps it: the system
 * gives it to nobody who asks for any free port and to no outgoing connection, dials to it are refused, and a listener that
 * names it may have it, again and again. A port that was only looked up and let go is taken by any connection in between.
 */
public final class HeldPort implements Closeable {
    private final Socket holder = new Socket();

    public HeldPort() throws IOException {
        // Both sockets have to allow the other: listeners of Java's channels do so by themselves.
        holder.setReuseAddress(true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public int number() {
        return holder.getLocalPort();
    }

    /** Host and port. */
    public String address() {
        return "127.0.0.1:" + number();
    }

    @Override
    public void close() throws IOException {
        holder.close();
    }
}
