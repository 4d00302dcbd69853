package onyxpaddle.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import onyxpaddle.Balancing.RequestClass;
import onyxpaddle.Balancing.Settings;

final class ClientServer {
    private static final int LONGEST_LINE = 8 * 1024;
    private static final int LONGEST_HEAD = 16 * 1024;
    private static final long SWEEP_MS = 250;
    private static final long MILLI = 1_000_000L;
    private static final long LISTEN_ON = 500 * MILLI;
    private static final long SURELY_IDLE = 30 * MILLI;
    private static final long QUIET = 250 * MILLI;
    private static final long LISTEN_AT_MOST = 1500 * MILLI;

    final Clock clock;
    final Budget budget;
    final Dispatcher dispatcher;
    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final BooleanSupplier ready;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<ClientConnection> open = new HashSet<>();
    private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>();
    private Channel listener;
    private boolean draining;
    private long drainingSince;
    private long acceptedAt;

    ClientServer(EventLoop loop, ByteBufAllocator allocator, Clock clock, Budget budget, Dispatcher dispatcher,
            Settings settings, BooleanSupplier ready) {
        this.loop = loop;
        this.allocator = allocator;
        this.clock = clock;
        this.budget = budget;
        this.dispatcher = dispatcher;
        this.ready = ready;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    ChannelFuture listen(InetSocketAddress address) {
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 4096)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Sockets.READ_SIZE))
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(16 * 1024, 32 * 1024))
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    ClientConnection connection = new ClientConnection(ClientServer.this, channel);
                    channel.pipeline().addLast(connection.byteWatch(), new HttpServerCodec(new HttpDecoderConfig()
                        .setMaxInitialLineLength(LONGEST_LINE).setMaxHeaderSize(LONGEST_HEAD)
                        .setMaxChunkSize(Sockets.READ_SIZE)), connection);
                }
            })
            .bind(address);
        listener = bound.channel();
        return bound;
    }

    boolean ready() {
        return !draining && ready.getAsBoolean();
    }

    boolean draining() {
        return draining;
    }

    RequestClass requestClass(String name) {
        return classes.get(name);
    }

    // ---- how many are open ----

    void opened(ClientConnection c) {
        acceptedAt = clock.now();
        open.add(c);
        makeRoom(acceptedAt);
        if (open.size() >= budget.clients && listener.config().isAutoRead()) {
            listener.config().setAutoRead(false);
            loop.schedule(this::madeRoom, SURELY_IDLE, TimeUnit.NANOSECONDS);
        }
    }

    private void makeRoom(long now) {
        Iterator<ClientConnection> oldest = idle.iterator();
        for (int tooMany = open.size() - budget.servedClients; tooMany > 0 && oldest.hasNext(); tooMany--) {
            ClientConnection c = oldest.next();
            if (c.idleFor(now) <= SURELY_IDLE) {
                return;
            }
            oldest.remove();
            c.close();
        }
    }

    private void madeRoom() {
        makeRoom(clock.now());
        if (!listener.config().isAutoRead()) {
            loop.schedule(this::madeRoom, SURELY_IDLE, TimeUnit.NANOSECONDS);
        }
    }

    void closed(ClientConnection c) {
        open.remove(c);
        idle.remove(c);
        if (open.size() < budget.clients && listener.isOpen()) {
            listener.config().setAutoRead(true);
        }
    }

    /** Whether so many clients have requests under way that a further one is turned away. */
    boolean crowded() {
        return open.size() - idle.size() > budget.servedClients;
    }

    void idle(ClientConnection c, boolean isIdle) {
        if (isIdle) {
            idle.add(c);
        } else {
            idle.remove(c);
        }
    }

    int openConnections() {
        return open.size();
    }

    private void sweep() {
        long now = clock.now();
        makeRoom(now);
        for (ClientConnection c : open.toArray(new ClientConnection[0])) {
            c.checkProgress(now);
        }
    }

    // ---- the planned end ----

    void drain(Runnable done) {
        if (draining) {
            return;
        }
        draining = true;
        drainingSince = clock.now();
        loop.scheduleWithFixedDelay(() -> drainStep(done), 50, 50, TimeUnit.MILLISECONDS);
    }

    private void drainStep(Runnable done) {
        long now = clock.now();
        long passed = now - drainingSince;
        if (passed < LISTEN_ON || now - acceptedAt < QUIET && passed < LISTEN_AT_MOST) {
            return;
        }
        listener.close();
        for (ClientConnection c : idle.toArray(new ClientConnection[0])) {
            c.close();
        }
        if (open.isEmpty() && dispatcher.unanswered() == 0) {
            done.run();
        }
    }
}
