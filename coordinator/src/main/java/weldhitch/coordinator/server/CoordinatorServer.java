package weldhitch.coordinator.server;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import weldhitch.consensus.AcceptorState;
import weldhitch.coordinator.core.CoordinatorConfig;
import weldhitch.coordinator.core.CoordinatorCore;
import weldhitch.fleet.error.FleetError;
import weldhitch.fleet.error.FleetException;

/**
 * A coordinator process. It owns the event loop that serves the sockets ({@link HttpRequestHandler}) and the decision
 * thread ({@link CoordinatorLoop}), and connects the two.
 *
 * <p>The public methods may be called from any thread.
 */
public final class CoordinatorServer implements Closeable {
    private static final String STATE_LOG_FILE = "steward.log";
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int INCARNATION_LENGTH = 8;

    private final CoordinatorSettings settings;
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CoordinatorLoop loop;
    private InetSocketAddress boundAddress;

    private CoordinatorServer(CoordinatorSettings settings, Consumer<String> log) throws FleetException {
        this.settings = settings;
        Path file = settings.directory().resolve(STATE_LOG_FILE);
        SubmissionDirectory submissions;
        AcceptorStateStore stateStore;
        try {
            Files.createDirectories(settings.directory());
            submissions = new SubmissionDirectory(settings.directory());
            stateStore = new AcceptorStateStore(file);
        } catch (IOException e) {
            throw new FleetException(new FleetError.StateWriteFailed(file.toString(), String.valueOf(e.getMessage())));
        }
        if (stateStore.isSuspect()) {
            log.accept(new FleetError.StateLogDamaged(file.toString()).message());
        }
        CoordinatorCore core = newCore(settings, stateStore.read(), !stateStore.isSuspect());
        PeerClient peers = new PeerClient(settings, eventLoops.next());
        loop = new CoordinatorLoop(settings, log, core, stateStore, submissions, peers);
    }

    private static CoordinatorCore newCore(CoordinatorSettings settings, AcceptorState state, boolean voting) {
        String incarnation = UUID.randomUUID().toString().substring(0, INCARNATION_LENGTH);
        CoordinatorConfig config = new CoordinatorConfig(
                settings.name(),
                incarnation,
                List.copyOf(settings.coordinators().keySet()),
                settings.timing(),
                settings.missingMemberPolicy());
        return new CoordinatorCore(config, state, voting, System.nanoTime(), incarnation.hashCode());
    }

    /**
     * Starts a coordinator; it accepts requests once this returns.
     *
     * @param log receives one line for each event
     * @throws FleetException if the coordinator cannot start; its error describes the cause and the remedy
     */
    public static CoordinatorServer start(CoordinatorSettings settings, Consumer<String> log) throws FleetException {
        CoordinatorServer server = new CoordinatorServer(settings, log);
        try {
            server.bind();
        } catch (Exception e) {
            server.close();
            throw new FleetException(new FleetError.InvalidSetting(
                    "listen",
                    0,
                    settings.listen().toString(),
                    String.valueOf(e.getMessage()),
                    "choose a free loopback port"));
        }
        server.loop.start();
        log.accept("coordinator " + settings.name() + " listens on " + server.boundAddress);
        return server;
    }

    private void bind() throws InterruptedException {
        Channel channel = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel childChannel) {
                        childChannel
                                .pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new HttpRequestHandler(settings, loop));
                    }
                })
                .bind(settings.listen())
                .sync()
                .channel();
        boundAddress = (InetSocketAddress) channel.localAddress();
    }

    /** Returns the address that the server is bound to. */
    public InetSocketAddress address() {
        return boundAddress;
    }

    @Override
    public void close() {
        loop.stop();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
