package weldhitch.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import weldhitch.decision.lifecycle.GracefulShutdown;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.RequestClass;

/**
 * Accepts and tracks client connections: limits their number by closing idle ones, checks them for timeouts
 * periodically, and runs the graceful shutdown that {@link GracefulShutdown} plans. Not thread-safe, confined to the
 * event loop.
 */
final class ClientConnectionManager implements ClientConnectionListener<ClientConnection>, ClientPolicy {
    private static final int BACKLOG = 4096;
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
    /**
     * Maximum number of requests on one connection that the HTTP codec decodes before their responses are written. A
     * further request makes the codec fail, which closes the connection. The value exceeds the number that the
     * pipelining limit admits plus the number that one read can add (18 bytes each).
     */
    private static final int MAX_UNANSWERED_REQUESTS = 2048;

    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final long SWEEP_INTERVAL_MS = 250;
    private static final long DRAIN_INTERVAL_MS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MEMORY_LOG_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;
    private static final long BYTES_PER_KILOBYTE = 1024;
    /** Time for which a connection must have been idle before it may be closed to make room for others. */
    private static final long EVICTABLE_AFTER_NANOS = 30 * NANOS_PER_MILLI;

    private final ConnectionContext context;
    private final Clock clock;
    private final ResourceLimits limits;
    private final Dispatcher dispatcher;
    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final BooleanSupplier ready;
    private final Map<String, RequestClass> classesByName = new HashMap<>();
    private final Set<ClientConnection> connections = new HashSet<>();
    private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>();
    /** Connections that only wait for their client to close its side. */
    private final Set<ClientConnection> closing = new HashSet<>();

    private Channel listener;
    private final GracefulShutdown shutdown;
    /** Number of idle connections when clients are first asked to disconnect; negative until then. */
    private int idleAtCloseStart = -1;

    private long lastAcceptedAt;
    private long memoryLoggedAt;

    ClientConnectionManager(
            EventLoop loop,
            ByteBufAllocator allocator,
            ConnectionContext context,
            Dispatcher dispatcher,
            BalancerSettings settings,
            BooleanSupplier ready) {
        this.loop = loop;
        this.allocator = allocator;
        this.context = context;
        clock = context.clock();
        limits = context.limits();
        this.dispatcher = dispatcher;
        this.ready = ready;
        settings.classes().forEach(c -> classesByName.put(c.name(), c));
        shutdown = new GracefulShutdown(
                maxSpan(settings, RequestClass::deadline), maxSpan(settings, RequestClass::latencyObjective));
    }

    ChannelFuture listen(InetSocketAddress address) {
        PeriodicTasks.start(loop, "client-sweep", this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        ChannelFuture bindFuture = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, allocator)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Sockets.READ_BUFFER_BYTES))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(16 * 1024, 32 * 1024))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ClientConnection connection = new ClientConnection(
                                ClientConnectionManager.this,
                                ClientConnectionManager.this,
                                dispatcher,
                                context,
                                channel);
                        channel.pipeline()
                                .addLast(
                                        connection.sequencer().bytesHandler(),
                                        new HttpServerCodec(
                                                new HttpDecoderConfig()
                                                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                                                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                                                        .setMaxChunkSize(Sockets.READ_BUFFER_BYTES)
                                                        .setHeadersFactory(connection
                                                                .sequencer()
                                                                .headersFactory())
                                                        .setTrailersFactory(connection
                                                                .sequencer()
                                                                .headersFactory()),
                                                MAX_UNANSWERED_REQUESTS),
                                        connection);
                    }
                })
                .bind(address);
        listener = bindFuture.channel();
        limitAccepts(limits.maxClientConnections);
        return bindFuture;
    }

    @Override
    public boolean ready() {
        return !shutdown.started() && ready.getAsBoolean();
    }

    /** Returns whether a response written now asks its client to reconnect elsewhere. */
    @Override
    public boolean sendsConnectionClose() {
        return shutdown.sendsConnectionClose(clock.now());
    }

    @Override
    public Rejection admit(InFlightRequest inFlight) {
        if (dispatcher.isDuplicate(inFlight.request)) {
            return Rejection.DUPLICATE_ID;
        }
        long now = clock.now();
        long remaining = inFlight.timeout - (now - inFlight.receivedAt);
        if (remaining <= 0) {
            return Rejection.DEADLINE_EXCEEDED;
        }
        inFlight.timeout = shutdown.allowedTime(
                now, remaining, inFlight.request.requestClass().latencyObjective());
        return inFlight.timeout == 0 ? Rejection.SHUTTING_DOWN : null;
    }

    private static long maxSpan(BalancerSettings settings, ToLongFunction<RequestClass> span) {
        return settings.classes().stream().mapToLong(span).max().orElse(0);
    }

    @Override
    public RequestClass requestClass(String name) {
        return classesByName.get(name);
    }

    @Override
    public void opened(ClientConnection connection) {
        lastAcceptedAt = clock.now();
        connections.add(connection);
        evictIdleConnections(lastAcceptedAt);
        limitAccepts(limits.maxClientConnections - connections.size());
        if (connections.size() >= limits.maxClientConnections
                && listener.config().isAutoRead()) {
            listener.config().setAutoRead(false);
            loop.schedule(this::evictUntilAccepting, EVICTABLE_AFTER_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Limits how many connections one poll accepts. The limit is normally the number of connections that may still be
     * opened, so that none waits in the backlog longer than necessary: once a connection is accepted, the time that it
     * has spent in the backlog is unknown.
     */
    private void limitAccepts(int count) {
        if (listener.config().getRecvByteBufAllocator() instanceof MaxMessagesRecvByteBufAllocator acceptAllocator) {
            acceptAllocator.maxMessagesPerRead(Math.max(1, Math.min(count, BACKLOG)));
        }
    }

    private void evictIdleConnections(long now) {
        int excess = connections.size() - limits.maxActiveClients;
        int evictable = 0;
        for (Iterator<ClientConnection> oldest = idle.iterator(); evictable < excess && oldest.hasNext(); evictable++) {
            if (oldest.next().idleFor(now) <= EVICTABLE_AFTER_NANOS) {
                break;
            }
        }
        closeOldestIdle(evictable);
    }

    /**
     * Closes {@code count} of the connections that have been idle longest, or fewer if some turn out not to be idle.
     */
    private void closeOldestIdle(int count) {
        // Collects the candidates first: closeIfIdle reads pending input and may find a request that is answered at
        // once, which makes its connection idle again.
        List<ClientConnection> candidates = new ArrayList<>(Math.max(0, count));
        for (Iterator<ClientConnection> oldest = idle.iterator(); candidates.size() < count && oldest.hasNext(); ) {
            candidates.add(oldest.next());
        }
        candidates.forEach(ClientConnection::closeIfIdle);
    }

    private void evictUntilAccepting() {
        try {
            evictIdleConnections(clock.now());
        } finally {
            if (!listener.config().isAutoRead()) {
                loop.schedule(this::evictUntilAccepting, EVICTABLE_AFTER_NANOS, TimeUnit.NANOSECONDS);
            }
        }
    }

    @Override
    public void closed(ClientConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
        closing.remove(connection);
        limitAccepts(limits.maxClientConnections - connections.size());
        if (connections.size() < limits.maxClientConnections && listener.isOpen()) {
            listener.config().setAutoRead(true);
        }
    }

    @Override
    public Rejection admitHead() {
        if (connections.size() - idle.size() - closing.size() > limits.maxActiveClients) {
            return Rejection.CLIENT_LIMIT;
        }
        return limits.acceptsRequests() ? null : Rejection.MEMORY_LIMIT;
    }

    @Override
    public void closing(ClientConnection connection) {
        if (connections.contains(connection)) {
            closing.add(connection);
        }
    }

    @Override
    public void idleChanged(ClientConnection connection, boolean isIdle) {
        if (isIdle) {
            idle.add(connection);
        } else {
            idle.remove(connection);
        }
    }

    int openConnections() {
        return connections.size();
    }

    private void sweep() {
        long now = clock.now();
        logMemoryPressure(now);
        evictIdleConnections(now);
        for (ClientConnection connection : connections.toArray(new ClientConnection[0])) {
            checkTimeouts(connection, now);
        }
    }

    /** Checks one connection; a failure of one must not keep the others from being checked. */
    private static void checkTimeouts(ClientConnection connection, long now) {
        try {
            connection.checkTimeouts(now);
        } catch (RuntimeException e) {
            Log.failure("client connection check failed", e);
        }
    }

    private void logMemoryPressure(long now) {
        if (limits.underPressure() && now - memoryLoggedAt >= MEMORY_LOG_INTERVAL_NANOS) {
            memoryLoggedAt = now;
            Log.line("memory pressure reserved_kb=" + limits.reservedBytes() / BYTES_PER_KILOBYTE + " limit_kb="
                    + limits.maxBytes() / BYTES_PER_KILOBYTE + " clients=" + connections.size() + " idle="
                    + idle.size() + " closing=" + closing.size() + " in_flight=" + dispatcher.unanswered());
        }
    }

    void drain(Runnable onDrained) {
        if (!shutdown.started()) {
            // The platform kills the process a fixed time after it sent the signal, however late the signal is handled.
            shutdown.start(context.polls().signalledNotBefore(clock.now()));
            PeriodicTasks.start(loop, "drain", () -> drainStep(onDrained), DRAIN_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Accepts all connections in the operating system's backlog, because closing the listener would reset them and lose
     * their requests. This may exceed the connection limit, but nothing is accepted if the limit has already been
     * reached.
     */
    private void acceptBacklog() {
        if (listener.config().isAutoRead() && listener.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            limitAccepts(BACKLOG);
            unsafe.read();
        }
    }

    private void drainStep(Runnable onDrained) {
        long now = clock.now();
        if (listener.isOpen() && !shutdown.acceptsConnections(now, lastAcceptedAt, connections.size())) {
            acceptBacklog();
            Log.line("draining listener closed connections=" + connections.size());
            listener.close();
        }
        if (shutdown.sendsConnectionClose(now)) {
            idleAtCloseStart = idleAtCloseStart < 0 ? idle.size() : idleAtCloseStart;
            closeOldestIdle(idle.size() - shutdown.idleConnectionsToKeep(now, idleAtCloseStart));
        }
        if (shutdown.isComplete(now)) {
            dispatcher.answerAll();
            for (ClientConnection connection : connections.toArray(new ClientConnection[0])) {
                connection.closeIfLingering();
            }
        }
        if (!listener.isOpen() && connections.isEmpty() && dispatcher.unanswered() == 0) {
            onDrained.run();
        }
    }
}
