package weldhitch.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import weldhitch.client.policy.AttemptOutcome;

/** Owns the connections of a client, grouped by node. Used only on the event loop. */
final class ConnectionPool implements NodeConnection.Owner {
    private final EventLoop eventLoop;
    private final int connectTimeoutMillis;
    private final int maxConcurrentConnects;
    private final Consumer<String> onConnectionLost;
    private final Map<String, ArrayDeque<NodeConnection>> idleByNode = new LinkedHashMap<>();
    private final Set<NodeConnection> connections = new LinkedHashSet<>();
    private final ArrayDeque<Runnable> queuedConnects = new ArrayDeque<>();
    private int connectsInProgress;
    private boolean closed;

    /**
     * Creates a pool without connections.
     *
     * @param onConnectionLost called with the node when its last connection was closed without an announcement
     */
    ConnectionPool(
            EventLoop eventLoop,
            int connectTimeoutMillis,
            int maxConcurrentConnects,
            Consumer<String> onConnectionLost) {
        this.eventLoop = eventLoop;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.maxConcurrentConnects = maxConcurrentConnects;
        this.onConnectionLost = onConnectionLost;
    }

    /** Identifies an attempt, so that it can be abandoned. */
    final class AttemptHandle {
        private NodeConnection connection;
        private boolean abandoned;

        /** Abandons the attempt; its listener is not called any more. */
        void abandon() {
            abandoned = true;
            if (connection != null) {
                connection.abandonAttempt();
            }
        }
    }

    /**
     * Sends a request on the most recently used idle connection that is still usable, or on a new one.
     *
     * @param request creates the request immediately before it is written, because the request states the time that
     *     remains until its deadline; returns empty if it is too late to send it
     */
    AttemptHandle send(
            String node, Supplier<Optional<FullHttpRequest>> request, NodeConnection.AttemptListener listener) {
        AttemptHandle handle = new AttemptHandle();
        NodeConnection connection = pollUsable(node);
        if (connection != null) {
            write(connection, handle, request, listener);
        } else {
            connect(node, handle, request, listener);
        }
        return handle;
    }

    /** Writes the request to the connection; leaves the connection idle if it is too late to send it. */
    private void write(
            NodeConnection connection,
            AttemptHandle handle,
            Supplier<Optional<FullHttpRequest>> request,
            NodeConnection.AttemptListener listener) {
        Optional<FullHttpRequest> httpRequest = request.get();
        if (httpRequest.isPresent()) {
            handle.connection = connection;
            connection.send(httpRequest.get(), listener);
        } else {
            onIdle(connection);
            listener.onAttemptEnded(AttemptResult.withoutResponse(AttemptOutcome.NOT_SENT));
        }
    }

    /** Removes and returns the most recently used idle connection that is still usable; null if there is none. */
    private NodeConnection pollUsable(String node) {
        ArrayDeque<NodeConnection> idleConnections = idleByNode.getOrDefault(node, new ArrayDeque<>());
        NodeConnection connection = idleConnections.pollLast();
        while (connection != null && !connection.isUsable()) {
            connection = idleConnections.pollLast();
        }
        return connection;
    }

    private void connect(
            String node,
            AttemptHandle handle,
            Supplier<Optional<FullHttpRequest>> request,
            NodeConnection.AttemptListener listener) {
        if (handle.abandoned || closed) {
            if (!handle.abandoned) {
                listener.onAttemptEnded(AttemptResult.withoutResponse(AttemptOutcome.NOT_SENT));
            }
            return;
        }
        if (connectsInProgress >= maxConcurrentConnects) {
            queuedConnects.add(() -> connect(node, handle, request, listener));
            return;
        }
        connectsInProgress++;
        NodeConnection connection = new NodeConnection(node, this);
        int colon = node.lastIndexOf(':');
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(Request.MAX_BODY_BYTES, true),
                                        connection);
                    }
                })
                .connect(new InetSocketAddress(node.substring(0, colon), Integer.parseInt(node.substring(colon + 1))))
                .addListener(connectFuture -> {
                    connectsInProgress--;
                    if (!connectFuture.isSuccess()) {
                        if (!handle.abandoned) {
                            listener.onAttemptEnded(AttemptResult.withoutResponse(AttemptOutcome.NOT_SENT));
                        }
                    } else if (closed) {
                        connection.close();
                    } else {
                        connections.add(connection);
                        if (handle.abandoned) {
                            onIdle(connection);
                        } else {
                            write(connection, handle, request, listener);
                        }
                    }
                    Runnable nextConnect = queuedConnects.poll();
                    if (nextConnect != null) {
                        nextConnect.run();
                    }
                });
    }

    @Override
    public void onIdle(NodeConnection connection) {
        idleByNode.computeIfAbsent(connection.node, n -> new ArrayDeque<>()).addLast(connection);
    }

    @Override
    public void onClosed(NodeConnection connection, boolean closeAnnounced) {
        connections.remove(connection);
        ArrayDeque<NodeConnection> idleConnections = idleByNode.get(connection.node);
        if (idleConnections != null) {
            idleConnections.remove(connection);
        }
        if (!closeAnnounced && !closed && connections.stream().noneMatch(c -> c.node.equals(connection.node))) {
            onConnectionLost.accept(connection.node);
        }
    }

    /** Closes all connections and opens no more. */
    void close() {
        closed = true;
        List<NodeConnection> openConnections = new ArrayList<>(connections);
        openConnections.forEach(NodeConnection::close);
        for (Runnable nextConnect = queuedConnects.poll(); nextConnect != null; nextConnect = queuedConnects.poll()) {
            nextConnect.run();
        }
    }
}
