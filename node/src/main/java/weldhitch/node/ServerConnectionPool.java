package weldhitch.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import weldhitch.decision.connection.ConnectionReusePolicy;
import weldhitch.decision.connection.DispatchGuard;
import weldhitch.decision.connection.DispatchGuard.Verdict;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.settings.Idempotency;

/**
 * The pool of upstream connections: tracks the addresses and incarnations of the listed endpoints, starts attempts
 * on idle or new connections, and limits the number of descriptors. Used by {@link Dispatcher} and {@link Node}; not
 * thread-safe, confined to the event loop.
 */
final class ServerConnectionPool implements ServerConnectionOwner<ServerConnection> {
    private static final double IDLE_FRACTION_OF_KEEP_ALIVE = 0.7;
    private static final int MAX_IDLE_PER_SERVER = 16;
    private static final long SWEEP_INTERVAL_MS = 250;

    private final ConnectionContext context;
    private final Clock clock;
    private final AttemptListener listener;
    private final Bootstrap bootstrap;
    private final long maxIdleNanos;
    private final Map<String, PooledEndpoint> pooledEndpoints = new HashMap<>();
    private final Set<ServerConnection> open = new HashSet<>();
    /** The number of pending connects and open connections. */
    private int openDescriptors;

    private final ConnectionReusePolicy reusePolicy = new ConnectionReusePolicy();

    private long lastIncarnation;

    /** A listed endpoint with its idle connections, the most recently used first. */
    private static final class PooledEndpoint {
        InetSocketAddress address;
        long startedAt;
        /**
         * Changes whenever the endpoint restarts or its address changes; {@link DispatchGuard#NOT_LISTED} once the
         * endpoint is removed.
         */
        long incarnation;

        boolean draining;
        final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    }

    ServerConnectionPool(
            EventLoop loop,
            ByteBufAllocator allocator,
            ConnectionContext context,
            AttemptListener listener,
            long keepalive,
            long connectTimeout) {
        this.context = context;
        clock = context.clock();
        this.listener = listener;
        maxIdleNanos = (long) (IDLE_FRACTION_OF_KEEP_ALIVE * keepalive);
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, allocator)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / 1_000_000))
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Sockets.READ_BUFFER_BYTES))
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(32 * 1024, 64 * 1024))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(
                                        new HttpDecoderConfig()
                                                .setMaxChunkSize(Sockets.READ_BUFFER_BYTES)
                                                .setHeadersFactory(LimitedHeaders.FACTORY)
                                                .setTrailersFactory(LimitedHeaders.FACTORY),
                                        false,
                                        false));
                    }
                });
        PeriodicTasks.start(loop, "server-sweep", this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    void apply(EndpointList endpoints) {
        if (endpoints.full()) {
            Set<String> removed = new HashSet<>(pooledEndpoints.keySet());
            endpoints
                    .endpoints()
                    .forEach(endpoint -> removed.remove(endpoint.entry().endpointId()));
            removed.forEach(this::remove);
        }
        for (EndpointList.ListedEndpoint endpoint : endpoints.endpoints()) {
            String endpointId = endpoint.entry().endpointId();
            if (endpoint.entry().state() == EndpointState.REMOVED) {
                remove(endpointId);
                continue;
            }
            PooledEndpoint pooledEndpoint = pooledEndpoints.computeIfAbsent(endpointId, s -> new PooledEndpoint());
            boolean changed = !endpoint.address().equals(pooledEndpoint.address)
                    || pooledEndpoint.startedAt != endpoint.entry().startedAt();
            pooledEndpoint.draining = endpoint.entry().state() == EndpointState.DRAINING;
            if (changed || pooledEndpoint.draining) {
                closeIdle(pooledEndpoint);
            }
            if (changed) {
                pooledEndpoint.incarnation = ++lastIncarnation;
            }
            pooledEndpoint.address = endpoint.address();
            pooledEndpoint.startedAt = endpoint.entry().startedAt();
        }
    }

    private void remove(String endpointId) {
        PooledEndpoint pooledEndpoint = pooledEndpoints.remove(endpointId);
        if (pooledEndpoint != null) {
            pooledEndpoint.incarnation = DispatchGuard.NOT_LISTED;
            closeIdle(pooledEndpoint);
        }
    }

    private static void closeIdle(PooledEndpoint pooledEndpoint) {
        for (ServerConnection connection = pooledEndpoint.idle.poll();
                connection != null;
                connection = pooledEndpoint.idle.poll()) {
            connection.close();
        }
    }

    void send(Attempt attempt) {
        PooledEndpoint pooledEndpoint = pooledEndpoints.get(attempt.endpointId);
        if (pooledEndpoint == null) {
            listener.ended(attempt, AttemptOutcome.CONNECT_FAILED, null);
            return;
        }
        long now = clock.now();
        long maxIdle = maxIdleNanos;
        if (attempt.request.requestClass().idempotency() != Idempotency.IDEMPOTENT) {
            maxIdle = Math.min(maxIdle, reusePolicy.maxIdle(now));
        }
        for (ServerConnection connection = pooledEndpoint.idle.pollFirst();
                connection != null;
                connection = pooledEndpoint.idle.pollFirst()) {
            // The server may have closed the connection, or sent bytes that belong to no response, without the event
            // loop having read that yet.
            connection.readPendingInput();
            if (!connection.usable()) {
                context.events().count(NodeEvent.SERVER_CONNECTION_DISCARDED, attempt.request.id());
            } else if (now - connection.idleSince < maxIdle) {
                startAttempt(attempt, pooledEndpoint, connection);
                return;
            }
            connection.close();
        }
        connect(pooledEndpoint, attempt);
    }

    /** Starts an attempt, or ends it as not sent if it may not start any more. Attempts start nowhere else. */
    private void startAttempt(Attempt attempt, PooledEndpoint pooledEndpoint, ServerConnection connection) {
        Verdict verdict = DispatchGuard.check(
                listener.isAwaited(attempt),
                clock.now(),
                attempt.deadline,
                attempt.deduplicatedUntil,
                connection.incarnation,
                pooledEndpoint.incarnation,
                pooledEndpoint.draining);
        if (verdict == Verdict.ALLOWED) {
            connection.start(attempt);
            return;
        }
        context.events().count(NodeEvent.ATTEMPT_NOT_SENT, verdict, attempt.request.id());
        if (verdict.concernsEndpoint() || !connection.reused()) {
            connection.close();
        } else {
            pooledEndpoint.idle.addFirst(connection);
        }
        listener.ended(attempt, AttemptOutcome.NOT_SENT, null);
    }

    private void connect(PooledEndpoint pooledEndpoint, Attempt attempt) {
        if (!listener.isAwaited(attempt)) {
            context.events().count(NodeEvent.ATTEMPT_NOT_SENT, Verdict.ABANDONED, attempt.request.id());
            listener.ended(attempt, AttemptOutcome.NOT_SENT, null);
            return;
        }
        if (openDescriptors >= context.limits().maxServerConnections && !closeOldestIdle()) {
            listener.ended(attempt, AttemptOutcome.CONNECT_FAILED, null);
            return;
        }
        openDescriptors++;
        long incarnation = pooledEndpoint.incarnation;
        ChannelFuture connectFuture = bootstrap.connect(pooledEndpoint.address);
        // This is the only place that releases a descriptor, including that of a connect that fails or is aborted.
        // Otherwise each failed connect would leak a descriptor, until every later attempt failed without being sent.
        connectFuture.channel().closeFuture().addListener(f -> openDescriptors--);
        attempt.transport = connectFuture.channel()::close;
        connectFuture.addListener(f -> {
            if (attempt.ended) {
                connectFuture.channel().close();
            } else if (!f.isSuccess()) {
                connectFuture.channel().close();
                listener.ended(attempt, AttemptOutcome.CONNECT_FAILED, null);
            } else {
                ServerConnection connection = new ServerConnection(
                        this, listener, context, attempt.endpointId, incarnation, connectFuture.channel());
                open.add(connection);
                connectFuture
                        .channel()
                        .pipeline()
                        .addFirst(connection.headValidationHandler())
                        .addLast(connection);
                startAttempt(attempt, pooledEndpoint, connection);
            }
        });
    }

    void abort(Attempt attempt) {
        if (attempt.transport != null) {
            attempt.transport.abort();
        }
    }

    @Override
    public void reuseSucceeded(long idle, long now) {
        reusePolicy.recordSuccess(idle, now);
    }

    @Override
    public void reuseFailed() {
        reusePolicy.recordFailure(clock.now());
    }

    @Override
    public void release(ServerConnection connection) {
        PooledEndpoint pooledEndpoint = pooledEndpoints.get(connection.endpointId);
        if (pooledEndpoint == null || pooledEndpoint.draining || connection.incarnation != pooledEndpoint.incarnation) {
            connection.close();
            return;
        }
        connection.idleSince = clock.now();
        pooledEndpoint.idle.addFirst(connection);
        if (pooledEndpoint.idle.size() > MAX_IDLE_PER_SERVER) {
            pooledEndpoint.idle.pollLast().close();
        }
    }

    @Override
    public void closed(ServerConnection connection) {
        open.remove(connection);
        PooledEndpoint pooledEndpoint = pooledEndpoints.get(connection.endpointId);
        if (pooledEndpoint != null) {
            pooledEndpoint.idle.remove(connection);
        }
    }

    private boolean closeOldestIdle() {
        ServerConnection oldest = null;
        for (PooledEndpoint pooledEndpoint : pooledEndpoints.values()) {
            ServerConnection connection = pooledEndpoint.idle.peekLast();
            if (connection != null && (oldest == null || connection.idleSince < oldest.idleSince)) {
                oldest = connection;
            }
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    private void sweep() {
        long now = clock.now();
        for (PooledEndpoint pooledEndpoint : pooledEndpoints.values()) {
            while (!pooledEndpoint.idle.isEmpty() && now - pooledEndpoint.idle.peekLast().idleSince >= maxIdleNanos) {
                pooledEndpoint.idle.pollLast().close();
            }
        }
        for (ServerConnection connection : open.toArray(new ServerConnection[0])) {
            connection.checkTimeouts(now);
        }
    }
}
