package weldhitch.coordinator.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import weldhitch.consensus.AcceptorState;
import weldhitch.coordinator.core.CoordinatorConfig;
import weldhitch.coordinator.core.CoordinatorCore;
import weldhitch.coordinator.core.Effect;
import weldhitch.coordinator.core.FleetState;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberHeartbeatResponse;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.error.FleetError;
import weldhitch.fleet.error.FleetException;
import weldhitch.fleet.locality.ZoneLoadAggregator;
import weldhitch.fleet.turns.PollSlots;
import weldhitch.statelog.StateLog;

/**
 * A coordinator process: decisions run on one thread, which alone accesses {@link CoordinatorCore} and the disk;
 * sockets are served by another. No decision is sent out before it is on disk.
 *
 * <p>The public methods may be called from any thread.
 */
public final class CoordinatorServer implements Closeable {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final long COMPACTION_THRESHOLD_BYTES = 1 << 20;
    private static final long SCAN_INTERVAL_MS = 200;
    private static final long MAX_LONG_POLL_MS = 2000;

    /**
     * A member's long poll that waits for an update.
     *
     * @param deadline when it is answered at the latest, by the monotonic clock
     */
    private record PendingMemberCall(MemberRequest request, long deadline, Consumer<MemberResponse> responder) {}

    private final CoordinatorSettings settings;
    private final Consumer<String> log;
    private final StateLog stateLog;
    private final SubmissionDirectory submissions;
    private final CoordinatorCore core;
    private final PeerClient peers;
    private final ScheduledExecutorService decisionExecutor = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread thread = new Thread(r, "decisions");
        thread.setDaemon(false);
        return thread;
    });
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Path> submittedFiles = new HashMap<>();
    private final List<PendingMemberCall> pendingCalls = new ArrayList<>();
    private InetSocketAddress boundAddress;
    private long noLeaderSince;
    /** Zone loads reported under the current leadership only; null before the first. */
    private ZoneLoadAggregator zoneLoads;

    private PollSlots pollSlots;
    private long leaderStateSince;

    private CoordinatorServer(CoordinatorSettings settings, Consumer<String> log) throws FleetException {
        this.settings = settings;
        this.log = log;
        Path file = settings.directory().resolve("steward.log");
        try {
            Files.createDirectories(settings.directory());
            submissions = new SubmissionDirectory(settings.directory());
            stateLog = StateLog.open(file, COMPACTION_THRESHOLD_BYTES);
        } catch (IOException e) {
            throw new FleetException(new FleetError.StateWriteFailed(file.toString(), String.valueOf(e.getMessage())));
        }
        if (stateLog.suspect()) {
            log.accept(new FleetError.StateLogDamaged(file.toString()).message());
        }
        AcceptorState acceptorState;
        try {
            acceptorState = stateLog.state() == null
                    ? AcceptorState.INITIAL
                    : CoordinatorJson.JSON.readValue(stateLog.state(), AcceptorState.class);
        } catch (IOException e) {
            throw new FleetException(new FleetError.StateWriteFailed(
                    file.toString(), "holds what is no state of this version: " + e.getMessage()));
        }
        String incarnation = UUID.randomUUID().toString().substring(0, 8);
        core = new CoordinatorCore(
                new CoordinatorConfig(
                        settings.name(),
                        incarnation,
                        List.copyOf(settings.coordinators().keySet()),
                        settings.timing(),
                        settings.missingMemberPolicy()),
                acceptorState,
                !stateLog.suspect(),
                System.nanoTime(),
                incarnation.hashCode());
        peers = new PeerClient(settings, eventLoops.next());
    }

    /**
     * Starts a coordinator; it accepts requests once this returns.
     *
     * @param log receives one line for each event
     * @throws FleetException with the cause and the remedy
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
                    "name a free port of loopback"));
        }
        server.decisionExecutor.scheduleWithFixedDelay(
                server::tick, 0, server.core.tickInterval(), TimeUnit.NANOSECONDS);
        server.decisionExecutor.scheduleWithFixedDelay(
                server::scanSubmissions, SCAN_INTERVAL_MS, SCAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
        log.accept("steward " + settings.name() + " listens on " + server.boundAddress);
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
                                        new HttpRequestHandler());
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

    // ---- on the decision thread ----

    private void tick() {
        handleEvent(() -> core.tick(System.nanoTime()));
        long now = System.nanoTime();
        answerPendingCalls(now, false);
        reportLostMajority(now);
    }

    private void reportLostMajority(long now) {
        boolean leaderKnown = core.leader(now) != null;
        if (leaderKnown) {
            noLeaderSince = now;
        } else if (noLeaderSince != 0
                && now - noLeaderSince > 3 * settings.timing().leaderLease()) {
            noLeaderSince = now;
            log.accept(new FleetError.NoQuorum(
                            settings.name(),
                            core.followerCount(now),
                            settings.coordinators().size())
                    .message());
        } else if (noLeaderSince == 0) {
            noLeaderSince = now;
        }
    }

    private void scanSubmissions() {
        List<FleetError> errors = new ArrayList<>();
        for (SubmissionDirectory.SubmittedFile submitted : submissions.scan(errors)) {
            submittedFiles.put(submitted.submissionId(), submitted.path());
            handleEvent(() -> core.submit(
                    System.nanoTime(),
                    submitted.submissionId(),
                    submitted.path().getFileName().toString(),
                    submitted.sha256(),
                    submitted.text()));
        }
        errors.forEach(e -> log.accept(e.message()));
        submissions.removedMembers().forEach((member, file) -> {
            if (core.removeMember(System.nanoTime(), member)) {
                log.accept("an operator says that " + member + " is gone");
                submissions.markAccepted(file, core.generation());
            }
        });
    }

    /** Handles an event, writes the new state to disk, and only then executes the effects. */
    private void handleEvent(Supplier<List<Effect>> decision) {
        try {
            AcceptorState previousState = core.acceptorState();
            long generation = core.generation();
            List<Effect> effects = decision.get();
            if (!core.acceptorState().equals(previousState)) {
                try {
                    stateLog.write(CoordinatorJson.JSON.writeValueAsBytes(core.acceptorState()));
                } catch (IOException e) {
                    core.rollBack(previousState);
                    log.accept(new FleetError.StateWriteFailed(
                                    settings.directory().toString(), String.valueOf(e.getMessage()))
                            .message());
                    return;
                }
            }
            for (Effect effect : effects) {
                execute(effect);
            }
            if (core.generation() != generation) {
                answerPendingCalls(System.nanoTime(), true);
            }
        } catch (RuntimeException e) {
            log.accept("steward " + settings.name() + " failed on an event, and goes on: " + e
                    + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Send send) {
            peers.send(send.to(), send.message());
        } else if (effect instanceof Effect.LogEvent logEvent) {
            log.accept("steward=" + settings.name() + " generation=" + core.generation() + " event=\""
                    + logEvent.event() + "\"");
        } else if (effect instanceof Effect.ReportError reportError) {
            log.accept(reportError.error().message());
        } else if (effect instanceof Effect.Submitted submitted) {
            Path file = submittedFiles.remove(submitted.submissionId());
            if (file != null) {
                submissions.markAccepted(file, submitted.versionNumber());
            }
        }
    }

    private void onMemberCall(MemberRequest request, Consumer<MemberResponse> responder) {
        long now = System.nanoTime();
        MemberHeartbeat call = request.heartbeat();
        MemberHeartbeatResponse memberAnswer = core.onMemberCall(now, call);
        if (memberAnswer.fromLeader()) {
            resetStateOfFormerLeader();
            zoneLoads.onReport(call.member(), call.leaving() ? null : request.loadReport(), now);
        }
        if (memberAnswer.fromLeader()
                && request.waitMillis() > 0
                && memberAnswer.joined()
                && call.generation() >= memberAnswer.generation()) {
            pendingCalls.add(new PendingMemberCall(
                    request, now + Math.min(MAX_LONG_POLL_MS, request.waitMillis()) * 1_000_000, responder));
        } else {
            responder.accept(memberReply(memberAnswer, request, now));
        }
        if (call.votedVersion() != 0 || !memberAnswer.joined()) {
            // The call may bring the last missing vote; a newly committed command answers all pending calls.
            tick();
        }
    }

    private void answerPendingCalls(long now, boolean all) {
        boolean isLeader = core.isLeader(now);
        for (Iterator<PendingMemberCall> iterator = pendingCalls.iterator(); iterator.hasNext(); ) {
            PendingMemberCall pendingCall = iterator.next();
            if (all || !isLeader || now >= pendingCall.deadline) {
                iterator.remove();
                pendingCall.responder.accept(
                        memberReply(core.onMemberCall(now, pendingCall.request.heartbeat()), pendingCall.request, now));
            }
        }
    }

    /**
     * Zone loads and poll slots are known under the current leadership only, and start empty with it: what a
     * former leader granted is not known here.
     */
    private void resetStateOfFormerLeader() {
        if (zoneLoads == null || leaderStateSince != core.leadingSince()) {
            leaderStateSince = core.leadingSince();
            zoneLoads =
                    new ZoneLoadAggregator(leaderStateSince, settings.timing().maxClockDrift());
            pollSlots = new PollSlots();
        }
    }

    private MemberResponse memberReply(MemberHeartbeatResponse answer, MemberRequest request, long now) {
        if (!answer.fromLeader()) {
            return new MemberResponse(answer, null, -1);
        }
        resetStateOfFormerLeader();
        MemberHeartbeat call = request.heartbeat();
        boolean includesZones = answer.joined() && request.loadReport() != null;
        return new MemberResponse(
                answer,
                includesZones
                        ? zoneLoads.viewFor(
                                call.member(), core.fleetState().members().size(), now)
                        : null,
                request.ownPollDelayNanos() < 0
                        ? -1
                        : pollSlots.assign(
                                call.member() + "/" + call.incarnation(),
                                now,
                                Math.min(PollSlots.MAX_DELAY, request.ownPollDelayNanos())));
    }

    private String stateJson() throws JsonProcessingException {
        long now = System.nanoTime();
        FleetState routes = core.fleetState();
        Map<String, Object> state = new java.util.LinkedHashMap<>();
        state.put("steward", settings.name());
        state.put("leader", core.leader(now));
        state.put("leads", core.isLeader(now));
        state.put("generation", core.generation());
        state.put("inForce", routes.activeVersion());
        state.put("pending", routes.pendingVersion());
        state.put("outcome", routes.outcome());
        state.put("roster", routes.members().keySet().stream().sorted().toList());
        state.put("leased", core.leaseHolders(now).stream().sorted().toList());
        if (core.isLeader(now)) {
            resetStateOfFormerLeader();
            state.put("zones", zoneLoads.zoneLoads(core.fleetState().members().size(), now));
        }
        return CoordinatorJson.JSON.writeValueAsString(state);
    }

    // ---- sockets ----

    /**
     * Handles the HTTP requests of members, peers and operators on the event loop; everything that needs the
     * state is passed on to the decision thread.
     */
    private final class HttpRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Channel channel = context.channel();
            if (request.decoderResult().isFailure()) {
                reject(channel, 400, "is no HTTP request");
                return;
            }
            String path = request.uri();
            byte[] body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
            try {
                if (request.method().equals(HttpMethod.POST) && path.equals("/v1/peer")) {
                    handlePeerMessage(
                            channel, CoordinatorJson.JSON.readValue(body, CoordinatorJson.PeerEnvelope.class));
                } else if (request.method().equals(HttpMethod.POST) && path.equals("/v1/member")) {
                    handleMemberCall(channel, CoordinatorJson.JSON.readValue(body, MemberRequest.class));
                } else if (request.method().equals(HttpMethod.GET) && path.matches("/v1/bundle/[0-9]{1,18}")) {
                    long number = Long.parseLong(path.substring("/v1/bundle/".length()));
                    decisionExecutor.execute(() -> {
                        String bundle = core.fleetState().bundleOf(number);
                        if (bundle == null) {
                            reject(channel, 404, "version " + number + " is not known here");
                        } else {
                            respond(channel, 200, bundle.getBytes(StandardCharsets.UTF_8));
                        }
                    });
                } else if (request.method().equals(HttpMethod.GET) && path.equals("/v1/state")) {
                    decisionExecutor.execute(() -> {
                        try {
                            respond(channel, 200, stateJson().getBytes(StandardCharsets.UTF_8));
                        } catch (JsonProcessingException e) {
                            reject(channel, 500, "its state can't be told: " + e.getMessage());
                        }
                    });
                } else {
                    reject(channel, 404, request.method() + " " + path + " is nothing that a steward answers");
                }
            } catch (IOException | RuntimeException e) {
                reject(
                        channel,
                        400,
                        "is no message of this version: "
                                + String.valueOf(e.getMessage())
                                        .lines()
                                        .findFirst()
                                        .orElse(""));
            }
        }

        private void handlePeerMessage(Channel channel, CoordinatorJson.PeerEnvelope envelope) {
            if (rejectOtherCluster(channel, envelope.cluster())) {
                return;
            }
            if (envelope.message() == null
                    || envelope.from() == null
                    || envelope.from().equals(settings.name())
                    || !settings.coordinators().containsKey(envelope.from())) {
                reject(channel, 403, "\"" + envelope.from() + "\" is none of the other stewards, or says nothing");
                return;
            }
            decisionExecutor.execute(
                    () -> handleEvent(() -> core.onMessage(System.nanoTime(), envelope.from(), envelope.message())));
            respond(channel, 204, new byte[0]);
        }

        private void handleMemberCall(Channel channel, MemberRequest request) {
            if (rejectOtherCluster(channel, request.cluster())) {
                return;
            }
            MemberHeartbeat call = request.heartbeat();
            if (call == null
                    || call.member() == null
                    || !call.member().matches("[A-Za-z0-9_.-]{1,64}")
                    || call.incarnation() == null
                    || call.incarnation().isEmpty()
                    || call.incarnation().length() > 64) {
                reject(channel, 400, "names no member and incarnation");
                return;
            }
            decisionExecutor.execute(() -> onMemberCall(request, reply -> {
                try {
                    respond(channel, 200, CoordinatorJson.JSON.writeValueAsBytes(reply));
                } catch (JsonProcessingException e) {
                    reject(channel, 500, "its answer can't be told: " + e.getMessage());
                }
            }));
        }

        private boolean rejectOtherCluster(Channel channel, String cluster) {
            if (settings.cluster().equals(cluster)) {
                return false;
            }
            reject(channel, 403, "is of cluster \"" + cluster + "\", this is " + settings.cluster());
            return true;
        }

        private void reject(Channel channel, int status, String reason) {
            FleetError.Description error =
                    new FleetError.MessageRejected(String.valueOf(channel.remoteAddress()), reason).describe();
            String body;
            try {
                body = CoordinatorJson.JSON.writeValueAsString(Map.of(
                        "type",
                        error.kind(),
                        "where",
                        error.location(),
                        "what",
                        error.problem(),
                        "remedy",
                        error.remedy()));
            } catch (JsonProcessingException e) {
                body = "{}";
            }
            DefaultFullHttpResponse response = newResponse(status, body.getBytes(StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        private void respond(Channel channel, int status, byte[] body) {
            channel.writeAndFlush(newResponse(status, body));
        }

        private static DefaultFullHttpResponse newResponse(int status, byte[] body) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            return response;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        decisionExecutor.shutdownNow();
        try {
            decisionExecutor.awaitTermination(1, TimeUnit.SECONDS);
            stateLog.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            log.accept(new FleetError.StateWriteFailed(settings.directory().toString(), String.valueOf(e.getMessage()))
                    .message());
        }
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
