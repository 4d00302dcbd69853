package weldhitch.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.RouteStates;
import weldhitch.decision.discovery.DiscoveryPolling;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.fleet.member.FleetMember;
import weldhitch.fleet.member.FleetSettings;

/**
 * A balancer node: a single event loop does all socket I/O and runs the balancer. Creates, connects and owns the
 * components. Used by {@link NodeService}, whose threads may call its methods; they must not be called on the event
 * loop.
 */
public final class Node {
    /**
     * Time that a node waits for a first response of discovery before it reports itself ready with the endpoint list
     * that it was started with.
     */
    private static final long INITIAL_LIST_TIMEOUT_NANOS = 1_000_000_000L;

    private static final long MAX_DRAIN_SECONDS = 10;
    private static final int EXIT_EVENT_LOOP_ENDED = 70;

    private final Clock clock = new Clock();
    private final PollMonitor pollMonitor = new PollMonitor(clock);
    private final EventLoopThreadFactory threadFactory = new EventLoopThreadFactory(Node::endProcess);
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, threadFactory, ioHandlerFactory());
    private final long startedAt = clock.now();
    private final CountDownLatch drained = new CountDownLatch(1);
    /** Reads the route configuration; null if the node was started without one. */
    private final RouteConfigLoader routeConfig;

    private Dispatcher dispatcher;
    private ServerConnectionPool serverConnections;
    private Discovery discovery;
    private ClientConnectionManager clientConnections;
    private ResourceLimits limits;
    /** Starts and stops captures; null if the node was started without a route configuration. */
    private CaptureControl captureControl;
    /** The node's membership in the fleet, which holds the active routes; null if the node is not part of a fleet. */
    private FleetMember<RoutingRules> fleetMember;

    private volatile RouteVersionGate versionGate;
    /** Selects the zones that requests may go to; null if the node was started without a route configuration. */
    private ZoneRouter zoneRouter;

    private int nodeCount = 1;
    private boolean endpointsKnown;
    private final EndpointAddresses endpointAddresses = new EndpointAddresses();
    private InetSocketAddress boundAddress;
    private final String name;

    private Node(String name, RouteConfigLoader loader) {
        this.name = name;
        this.routeConfig = loader;
    }

    /**
     * Reads the platform settings from a configuration file, for checks without a running node.
     *
     * @param config the file in the format of {@code GW_CONFIG}
     * @return the settings of the file
     * @throws IllegalArgumentException with a one-line message that names the invalid setting
     */
    public static BalancerSettings platformSettings(Path config) {
        try {
            return NodeConfig.load(Map.of("GW_CONFIG", config.toString())).settings();
        } catch (InvalidConfigException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    static Node start(NodeConfig config) throws Exception {
        return start(config, null);
    }

    static Node start(NodeConfig config, Path operatorFile) throws Exception {
        Node node = prepare(config, operatorFile);
        node.awaitBound(node.bind(config));
        return node;
    }

    /** Creates a node that knows its endpoints and polls discovery, but does not listen yet. */
    static Node prepare(NodeConfig config, Path operatorFile) throws Exception {
        Node node = new Node(
                config.name(), operatorFile == null ? null : new RouteConfigLoader(operatorFile, config.settings()));
        RouteConfigLoader.LoadedRules loadedRules = node.routeConfig == null ? null : node.routeConfig.load();
        try {
            node.group.next().submit(() -> node.buildComponents(config)).sync();
            if (loadedRules != null) {
                node.group
                        .next()
                        .submit(() -> node.dispatcher.applyRules(loadedRules.routes(), loadedRules.locality()))
                        .sync();
                node.captureControl =
                        new CaptureControl(config.name(), config.settings(), node.group.next(), node.dispatcher);
                node.captureControl.apply(node.routeConfig.capture());
                node.joinFleet(config, loadedRules);
            }
        } catch (Exception | Error e) {
            node.shutDownEventLoop();
            throw e;
        }
        return node;
    }

    /**
     * Schedules the opening of the listener on the event loop, ahead of everything that is submitted to the loop later.
     */
    Future<ChannelFuture> bind(NodeConfig config) {
        return group.next().submit(() -> clientConnections.listen(config.listen()));
    }

    /** Waits until the listener is open. */
    void awaitBound(Future<ChannelFuture> bindFuture) throws Exception {
        try {
            boundAddress = (InetSocketAddress)
                    bindFuture.sync().getNow().sync().channel().localAddress();
        } catch (Exception e) {
            shutDownEventLoop();
            throw e;
        }
        Log.line("node " + name + " listens on " + boundAddress);
        pollMonitor.startLogging();
    }

    private void buildComponents(NodeConfig config) {
        EventLoop loop = group.next();
        nodeCount = config.settings().nodeCount();
        ByteBufAllocator allocator = Sockets.allocator();
        limits = new ResourceLimits(
                config.sockets(),
                ResourceLimits.usableHeap(Runtime.getRuntime().maxMemory(), config.memoryLimitBytes()));
        RatioBalancer balancer = new RatioBalancer(config.settings(), config.seed());
        NodeEventLog events = new NodeEventLog();
        ConnectionContext context = new ConnectionContext(clock, limits, pollMonitor.history(), events);
        pollMonitor.start(loop);
        events.start(loop);
        dispatcher = new Dispatcher(context, loop, balancer, config.settings().limits());
        serverConnections = new ServerConnectionPool(
                loop,
                allocator,
                context,
                dispatcher,
                config.keepalive(),
                config.settings().limits().connectTimeout());
        discovery = new Discovery(
                loop,
                allocator,
                config.discovery(),
                config.settings().pollsEndpoints(),
                config.knownEndpoints().seq(),
                discoveryPolling(config),
                endpoints -> applyEndpoints(
                        endpoints, endpoints.full() ? EndpointUpdateKind.FULL : EndpointUpdateKind.DELTA));
        dispatcher.connect(serverConnections, discovery::subscribe);
        if (routeConfig != null) {
            zoneRouter = new ZoneRouter(
                    config.name(), config.settings(), config.seed(), routeConfig.fleet() != null, clock, loop);
            dispatcher.zoneRouter(zoneRouter);
        }
        clientConnections =
                new ClientConnectionManager(loop, allocator, context, dispatcher, config.settings(), this::ready);
        applyEndpoints(config.knownEndpoints(), EndpointUpdateKind.CACHED);
        discovery.start();
    }

    private static DiscoveryPolling discoveryPolling(NodeConfig config) {
        BalancerSettings settings = config.settings();
        return settings.pollsEndpoints()
                ? DiscoveryPolling.ofSharedService(
                        config.seed(), settings.nodeCount(), settings.rules().maxPollInterval())
                : new DiscoveryPolling(config.seed(), settings.nodeCount());
    }

    private void applyEndpoints(EndpointList listed, EndpointUpdateKind kind) {
        EndpointList endpoints = endpointAddresses.resolve(listed);
        endpointsKnown |= !endpoints.endpoints().isEmpty();
        serverConnections.apply(endpoints);
        dispatcher.endpointsChanged(kind, endpoints.entries());
    }

    /** Joins the fleet if the route configuration names one. Waits for the event loop, so must not be called on it. */
    private void joinFleet(NodeConfig config, RouteConfigLoader.LoadedRules ownRules) {
        FleetSettings settings = routeConfig.fleet();
        if (settings == null) {
            return;
        }
        group.next().submit(discovery::enablePollSlots).syncUninterruptibly();
        String incarnation = UUID.randomUUID().toString();
        fleetMember = new FleetMember<>(
                settings,
                config.name(),
                incarnation,
                new RoutingRules(activeRoutes(), ownRules.locality()),
                (file, bundle, errors) -> {
                    RouteConfigLoader.LoadedRules loadedRules = routeConfig.parseVersion(file, bundle, errors);
                    return loadedRules == null
                            ? null
                            : new RoutingRules(
                                    activeRoutes()
                                            .prepareNext(
                                                    loadedRules.routes(),
                                                    config.settings().nodeCount()),
                                    loadedRules.locality());
                },
                zoneRouter,
                discovery,
                Log::line);
        versionGate = new RouteVersionGate(fleetMember, settings.exposeVersion());
        group.next().submit(() -> dispatcher.versionGate(versionGate)).syncUninterruptibly();
    }

    private RouteStates activeRoutes() {
        return group.next()
                .submit(dispatcher::activeRoutes)
                .syncUninterruptibly()
                .getNow();
    }

    private boolean ready() {
        return (versionGate == null || !versionGate.fenced())
                && endpointsKnown
                && (discovery.listReceived() || clock.now() - startedAt > INITIAL_LIST_TIMEOUT_NANOS);
    }

    InetSocketAddress address() {
        return boundAddress;
    }

    /** Returns the event loop that does all work. For tests, like the three methods below. */
    EventLoop loop() {
        return group.next();
    }

    /** Returns the number of open client connections. */
    int openConnections() {
        return group.next()
                .submit(clientConnections::openConnections)
                .syncUninterruptibly()
                .getNow();
    }

    /** Returns the number of bytes reserved for bodies and pipelined input. */
    long reservedBytes() {
        return group.next().submit(limits::reservedBytes).syncUninterruptibly().getNow();
    }

    /** Returns the host and port of the discovery service that is polled. */
    String discoveryAddress() {
        InetSocketAddress address =
                group.next().submit(discovery::address).syncUninterruptibly().getNow();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Applies those parts of a new configuration that may change while the node runs: the address of discovery, and the
     * routes of the route configuration. An invalid file changes nothing. Reads both files and returns once the routes
     * are active, so it must not be called on the event loop.
     */
    void reload(Map<String, String> environment) {
        // Discovery first: what it tells has a time limit from the signal on.
        reloadPart("discovery", () -> reloadDiscovery(environment));
        reloadPart("routes", this::reloadRoutes);
        reloadPart("capture", this::reloadCapture);
    }

    /** Reloads one part; a failure, an {@link Error} too, leaves this part as it was and the others are reloaded. */
    private static void reloadPart(String part, Runnable reload) {
        try {
            reload.run();
        } catch (Throwable e) {
            Log.failureUnlessExhausted("config reload failed part=" + part, e);
        }
    }

    private void reloadRoutes() {
        RouteConfigLoader.LoadedRules loadedRules = routeConfig == null ? null : routeConfig.reload();
        if (loadedRules != null && fleetMember != null) {
            // A route version of the fleet takes precedence over this node's own routes while there is one.
            fleetMember.replaceOwnTable(new RoutingRules(
                    activeRoutes().prepareNext(loadedRules.routes(), nodeCount), loadedRules.locality()));
        } else if (loadedRules != null) {
            group.next()
                    .submit(() -> dispatcher.applyRules(loadedRules.routes(), loadedRules.locality()))
                    .syncUninterruptibly();
        }
    }

    /** Applies the capture settings of the last valid file; without a change this has no effect. */
    private void reloadCapture() {
        if (captureControl != null) {
            captureControl.apply(routeConfig.capture());
        }
    }

    private void reloadDiscovery(Map<String, String> environment) {
        try {
            NodeConfig config = NodeConfig.reload(environment);
            group.next().execute(() -> discovery.moveTo(config.discovery()));
        } catch (InvalidConfigException e) {
            Log.line("config reload rejected: " + e.getMessage());
        }
    }

    /** Shuts down gracefully: returns once all received requests are answered, or after 10 s. */
    void drain() {
        Log.line("draining started");
        group.next().execute(() -> clientConnections.drain(drained::countDown));
        try {
            drained.await(MAX_DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeFleetMember();
        stopCapture();
    }

    private void closeFleetMember() {
        try {
            if (fleetMember != null) {
                fleetMember.close();
            }
        } catch (RuntimeException e) {
            Log.failure("leaving the fleet failed", e);
        }
    }

    private void stopCapture() {
        if (captureControl != null) {
            captureControl.apply(null);
        }
    }

    /** Shuts down immediately. */
    void stop() {
        closeFleetMember();
        stopCapture();
        shutDownEventLoop().syncUninterruptibly();
    }

    private Future<?> shutDownEventLoop() {
        threadFactory.shutDown();
        return group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private IoHandlerFactory ioHandlerFactory() {
        IoHandlerFactory nio = NioIoHandler.newFactory(SelectorProvider.provider(), () -> pollMonitor);
        return executor -> new FailFastIoHandler(nio.newHandler(executor), Node::endProcess);
    }

    /** Ends the process at once, without a graceful shutdown: without its event loop it cannot answer any request. */
    private static void endProcess() {
        System.err.println("weldhitch: the event loop ended unexpectedly");
        Runtime.getRuntime().halt(EXIT_EVENT_LOOP_ENDED);
    }
}
