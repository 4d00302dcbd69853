package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy on loopback that injects faults between a client and a server: delay, jitter, limited bandwidth,
 * dropped bytes, resets and half-closes. A fault applies to all open and new connections and affects the bytes
 * that have not been forwarded yet. Thread-safe; each connection uses two daemon threads.
 */
public final class FaultInjectingProxy implements Closeable {
    /** The direction in which bytes are forwarded. */
    public enum Direction {
        TO_SERVER,
        TO_CLIENT
    }

    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final InetSocketAddress server;
    private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();
    private final DirectionState toServer = new DirectionState();
    private final DirectionState toClient = new DirectionState();
    private volatile boolean rejecting;

    /** The active faults of one direction. Guarded by its own monitor, except {@code bytesForwarded}. */
    private static final class DirectionState {
        final AtomicLong bytesForwarded = new AtomicLong();
        long delayMillis;
        /** Upper bound of a random time added to the delay of each chunk; 0 for none. */
        int maxJitterMillis;

        SplittableRandom random = new SplittableRandom(0);
        /** Number of bytes to forward before the connections are reset; negative for no limit. */
        long bytesUntilReset = -1;

        long bytesPerSecond;
        boolean dropping;
        boolean paused;
    }

    /** The two sockets of a proxied connection. Immutable. */
    private record ProxiedConnection(Socket client, Socket server) {
        void close(boolean reset) {
            for (Socket socket : new Socket[] {client, server}) {
                try {
                    if (reset) {
                        socket.setSoLinger(true, 0);
                    }
                    socket.close();
                } catch (IOException e) {
                    // already closed
                }
            }
        }
    }

    /**
     * Creates a proxy and starts to listen.
     *
     * @param address host and port of the server
     */
    public FaultInjectingProxy(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        server = new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        TestSupport.startDaemon(() -> {
            while (true) {
                accept(listener.accept());
            }
        });
    }

    private void accept(Socket client) throws IOException {
        if (rejecting) {
            new ProxiedConnection(client, client).close(true);
            return;
        }
        Socket serverSocket = new Socket();
        try {
            serverSocket.connect(server);
        } catch (IOException e) {
            new ProxiedConnection(client, serverSocket).close(true);
            return;
        }
        client.setTcpNoDelay(true);
        serverSocket.setTcpNoDelay(true);
        ProxiedConnection connection = new ProxiedConnection(client, serverSocket);
        connections.add(connection);
        TestSupport.startDaemon(() -> relay(connection, client, serverSocket, toServer));
        TestSupport.startDaemon(() -> relay(connection, serverSocket, client, toClient));
    }

    private void relay(ProxiedConnection connection, Socket source, Socket target, DirectionState state)
            throws Exception {
        try {
            InputStream input = source.getInputStream();
            OutputStream output = target.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                forward(buffer, count, output, state, connection);
            }
            target.shutdownOutput();
        } catch (IOException e) {
            connection.close(true);
        } finally {
            if (source.isClosed() || source.isInputShutdown() && source.isOutputShutdown()) {
                connections.remove(connection);
            }
        }
    }

    /** Forwards bytes and applies the faults that are active when each chunk is written. */
    private static void forward(
            byte[] bytes, int count, OutputStream output, DirectionState state, ProxiedConnection connection)
            throws IOException, InterruptedException {
        int offset = 0;
        while (offset < count) {
            int length;
            synchronized (state) {
                while (state.paused) {
                    state.wait();
                }
                if (state.dropping) {
                    return;
                }
                length = state.bytesPerSecond == 0
                        ? count - offset
                        : (int) Math.min(count - offset, Math.max(1, state.bytesPerSecond / 20));
                long waitMillis = (offset == 0
                                ? state.delayMillis
                                        + (state.maxJitterMillis == 0 ? 0 : state.random.nextInt(state.maxJitterMillis))
                                : 0)
                        + (state.bytesPerSecond == 0 ? 0 : 1000L * length / state.bytesPerSecond);
                if (waitMillis > 0) {
                    // The injected delay; a change of the faults notifies this thread and ends the delay early.
                    state.wait(waitMillis);
                }
                if (state.dropping) {
                    return;
                }
                if (state.bytesUntilReset >= 0) {
                    length = (int) Math.min(length, state.bytesUntilReset);
                    state.bytesUntilReset -= length;
                    if (length == 0) {
                        connection.close(true);
                        return;
                    }
                }
            }
            // Counted before the write, so that a peer that has read these bytes finds them counted.
            state.bytesForwarded.addAndGet(length);
            output.write(bytes, offset, length);
            output.flush();
            offset += length;
        }
    }

    /** Returns the host and port to which clients connect. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the number of bytes forwarded in a direction. */
    public long bytesForwarded(Direction direction) {
        return stateOf(direction).bytesForwarded.get();
    }

    /** Returns the number of open proxied connections. */
    public int connectionCount() {
        return connections.size();
    }

    private DirectionState stateOf(Direction direction) {
        return direction == Direction.TO_SERVER ? toServer : toClient;
    }

    /** Changes the faults of one direction; applied under the monitor of that direction. */
    private interface StateChange {
        void apply(DirectionState state);
    }

    private FaultInjectingProxy update(Direction direction, StateChange change) {
        DirectionState state = stateOf(direction);
        synchronized (state) {
            change.apply(state);
            state.notifyAll();
        }
        return this;
    }

    /** Delays each chunk of a direction by {@code millis}. */
    public FaultInjectingProxy delay(Direction direction, long millis) {
        return update(direction, state -> state.delayMillis = millis);
    }

    /**
     * Delays each chunk, in both directions, by a further random time below {@code millis}.
     *
     * @param seed seed of the random times
     */
    public FaultInjectingProxy jitter(int millis, long seed) {
        for (Direction direction : Direction.values()) {
            update(direction, state -> {
                state.maxJitterMillis = millis;
                state.random = new SplittableRandom(seed + direction.ordinal());
            });
        }
        return this;
    }

    /**
     * Forwards this many more bytes to the clients, over all connections, and then resets each connection that has
     * more to forward. The reset usually happens within a message.
     */
    public FaultInjectingProxy resetAfter(long bytes) {
        return update(Direction.TO_CLIENT, state -> state.bytesUntilReset = bytes);
    }

    /** Limits the bandwidth of a direction in bytes per second; 0 for no limit. */
    public FaultInjectingProxy limitBandwidth(Direction direction, long bytesPerSecond) {
        return update(direction, state -> state.bytesPerSecond = bytesPerSecond);
    }

    /** Reads and drops all bytes of a direction and leaves the connections open, as if a machine had vanished. */
    public FaultInjectingProxy drop(Direction direction) {
        return update(direction, state -> state.dropping = true);
    }

    /** Pauses forwarding until {@link #heal} is called; unlike with {@link #drop}, no bytes are lost. */
    public FaultInjectingProxy pause(Direction direction) {
        return update(direction, state -> state.paused = true);
    }

    /** Ends all faults; dropped bytes stay lost. */
    public FaultInjectingProxy heal() {
        rejecting = false;
        for (Direction direction : Direction.values()) {
            update(direction, state -> {
                state.delayMillis = 0;
                state.maxJitterMillis = 0;
                state.bytesUntilReset = -1;
                state.bytesPerSecond = 0;
                state.dropping = false;
                state.paused = false;
            });
        }
        return this;
    }

    /** Resets all open connections; new connections are accepted. */
    public FaultInjectingProxy resetConnections() {
        connections.forEach(connection -> connection.close(true));
        connections.clear();
        return this;
    }

    /** Resets new connections as soon as they are accepted, until {@link #heal} is called. */
    public FaultInjectingProxy rejectConnections() {
        rejecting = true;
        return this;
    }

    /** Half-closes all connections: ends one direction with a FIN and keeps the other open. */
    public FaultInjectingProxy halfClose(Direction direction) throws IOException {
        for (ProxiedConnection connection : connections) {
            (direction == Direction.TO_SERVER ? connection.server : connection.client).shutdownOutput();
        }
        return this;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetConnections();
        heal();
    }
}
