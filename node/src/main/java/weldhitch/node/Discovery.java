package weldhitch.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import weldhitch.decision.discovery.DiscoveryPolling;
import weldhitch.decision.discovery.DiscoveryPolling.PollFailure;
import weldhitch.decision.discovery.EndpointListStaleness;
import weldhitch.fleet.member.FleetMember;

/**
 * Polls the discovery service by HTTP long polls and passes each endpoint list to the node. {@link DiscoveryPolling}
 * decides on the pauses, backoff and timeouts. Confined to the event loop, except the
 * {@link FleetMember.ListPoller} methods, which the thread of the fleet member calls.
 */
final class Discovery implements FleetMember.ListPoller {
    private static final int MAX_RESPONSE_BYTES = 2 << 20;
    /**
     * Pause after a poll that returned immediately without an update. The next poll must follow within 200 ms to
     * continue the watch.
     */
    private static final long EMPTY_POLL_PAUSE_NANOS = 100_000_000L;
    /** Time that a first poll waits for its poll slot: a few of the node's heartbeat intervals. */
    private static final long POLL_SLOT_WAIT_NANOS = 1_000_000_000L;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private final boolean onDemand;
    private final Consumer<EndpointList> onUpdate;
    private final DiscoveryPolling polling;
    private final EndpointListStaleness staleness = new EndpointListStaleness(System.nanoTime());
    private Channel channel;
    private Future<?> timeout;
    private boolean pollActive;
    /** The next poll while it is scheduled; null otherwise. */
    private Future<?> scheduledPoll;

    private long pollStartedAt;
    /** The time at which the response to the current poll is due: at the end of the wait that the poll requests. */
    private long responseExpectedAt;

    private long seq;
    private boolean listReceived;
    /** Whether coordinators assign poll slots. */
    private boolean usesPollSlots;

    /** Whether the next poll waits for its slot. */
    private volatile boolean awaitingPollSlot;
    /** The time of the next poll if no slots were used; the coordinators receive the delay until then. */
    private volatile long ownPollAt;
    /** The latest time of the next poll after a failed one, with or without a slot, once a list has been received. */
    private long latestPollAt;

    Discovery(
            EventLoop loop,
            ByteBufAllocator allocator,
            InetSocketAddress address,
            boolean onDemand,
            long seq,
            DiscoveryPolling polling,
            Consumer<EndpointList> onUpdate) {
        this.loop = loop;
        this.onDemand = onDemand;
        this.seq = seq;
        this.onUpdate = onUpdate;
        this.polling = polling;
        this.address = address;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, allocator)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        TimeUnit.NANOSECONDS.toMillis(polling.connectTimeout()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ResponseHandler());
                    }
                });
    }

    boolean listReceived() {
        return listReceived;
    }

    InetSocketAddress address() {
        return address;
    }

    void start() {
        if (!onDemand) {
            poll();
        }
    }

    /** Called when the balancer subscribes to updates: starts polling unless a poll is active or scheduled. */
    void subscribe() {
        if (!pollActive && usesPollSlots) {
            // A slot may be assigned soon; without one, the poll is sent after this wait.
            schedulePoll(POLL_SLOT_WAIT_NANOS);
        } else if (!pollActive) {
            poll();
        }
    }

    /**
     * Declares that coordinators assign poll slots from now on: the first poll, and a poll after a failure, waits for
     * its slot instead of a random delay. If no slot is assigned, it is sent without one.
     */
    void enablePollSlots() {
        usesPollSlots = onDemand;
        awaitingPollSlot = usesPollSlots && !listReceived;
        ownPollAt = System.nanoTime();
    }

    @Override
    public long ownPollDelayNanos() {
        return awaitingPollSlot ? Math.max(0, ownPollAt - System.nanoTime()) : -1;
    }

    @Override
    public void assignPollTime(long pollAt) {
        awaitingPollSlot = false;
        loop.execute(() -> {
            boolean waiting = scheduledPoll != null || !pollActive;
            // An overloaded service is polled less often than the slots allow.
            if (waiting && (!listReceived || polling.consecutiveFailures() > 0) && !polling.overloaded()) {
                if (scheduledPoll != null) {
                    scheduledPoll.cancel(false);
                }
                schedulePoll(Math.max(0, (listReceived ? Math.min(pollAt, latestPollAt) : pollAt) - System.nanoTime()));
            }
        });
    }

    /**
     * Switches to another discovery address. The poll to the old address is abandoned at once because it may stay open
     * for a long time without an update. The complete list is requested from the new address because its sequence
     * numbers need not continue those of the old one. The current list stays active until the new address responds.
     */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Log.line("discovery moved address=" + newAddress);
        address = newAddress;
        long delayNanos = polling.onServiceChanged();
        cancelTimeout();
        if (scheduledPoll != null) {
            scheduledPoll.cancel(false);
            scheduledPoll = null;
        }
        closeChannel();
        if (pollActive && delayNanos == 0) {
            poll();
        } else if (pollActive) {
            schedulePoll(delayNanos);
        }
    }

    private void beginPoll() {
        pollActive = true;
        scheduledPoll = null;
        pollStartedAt = System.nanoTime();
        if (channel != null) {
            // The service may have closed the connection without the event loop having read that yet.
            PendingInput.read(channel);
        }
        if (channel != null && channel.isActive()) {
            sendRequest();
            return;
        }
        ChannelFuture connectFuture = bootstrap.connect(address);
        channel = connectFuture.channel();
        connectFuture.addListener(f -> {
            if (!f.isSuccess()) {
                connectFuture.channel().close();
                pollFailed(connectFuture.channel(), PollFailure.CONNECTION_FAILED, "connect-failed");
            } else if (channel == connectFuture.channel()) {
                sendRequest();
            }
        });
    }

    private void sendRequest() {
        // A first poll to an agent requests no wait, so that it is answered at once and the node is ready sooner.
        long waitNanos = polling.needsFullList() || !listReceived && !onDemand ? 0 : polling.requestedWait();
        String uri = "/v1/endpoints"
                + (polling.needsFullList()
                        ? ""
                        : "?after=" + seq + "&wait_ms=" + TimeUnit.NANOSECONDS.toMillis(waitNanos));
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
        Channel pollChannel = channel;
        responseExpectedAt = System.nanoTime() + waitNanos;
        timeout = loop.schedule(
                () -> pollTimedOut(pollChannel), waitNanos + polling.responseTimeout(), TimeUnit.NANOSECONDS);
        pollChannel.writeAndFlush(request);
    }

    private void pollTimedOut(Channel pollChannel) {
        // The event loop may not have read the response yet; a complete response cancels the timeout.
        PendingInput.read(pollChannel);
        if (timeout != null) {
            pollFailed(pollChannel, PollFailure.TIMED_OUT, "timeout");
        }
    }

    /** Ends a poll that returned no list; the current list stays valid and polling continues. */
    private void pollFailed(Channel pollChannel, PollFailure failure, String cause) {
        pollFailed(pollChannel, failure, cause, 0);
    }

    private void pollFailed(Channel pollChannel, PollFailure failure, String cause, long retryAfter) {
        if (!pollActive || pollChannel != channel) {
            return;
        }
        cancelTimeout();
        channel = null;
        pollChannel.close();
        long delayNanos = polling.recordFailure(failure, retryAfter);
        if (polling.consecutiveFailures() == 1) {
            Log.line("discovery poll failed cause=" + cause);
        }
        String staleWarning = staleness.warning(System.nanoTime());
        if (staleWarning != null) {
            Log.line(staleWarning);
        }
        schedulePoll(delayNanos);
        latestPollAt = System.nanoTime() + polling.maxBackoff();
        ownPollAt = System.nanoTime() + delayNanos;
        awaitingPollSlot = usesPollSlots;
    }

    private void schedulePoll(long delayNanos) {
        pollActive = true;
        scheduledPoll = loop.schedule(this::poll, delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Polls; if the poll cannot even be begun, the next one follows as after any other failure. */
    private void poll() {
        try {
            beginPoll();
        } catch (Throwable e) {
            Log.failureUnlessExhausted("discovery poll failed", e);
            cancelTimeout();
            closeChannel();
            schedulePoll(polling.recordFailure(PollFailure.CONNECTION_FAILED, 0));
        }
    }

    private void closeChannel() {
        Channel oldChannel = channel;
        channel = null;
        if (oldChannel != null) {
            oldChannel.close();
        }
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void responseReceived(Channel pollChannel, FullHttpResponse response) {
        if (!pollActive || pollChannel != channel || timeout == null) {
            pollChannel.close();
            return;
        }
        if (response.status().code() != 200) {
            pollFailed(
                    pollChannel,
                    PollFailure.REJECTED,
                    "status status=" + response.status().code(),
                    Headers.parseRetryAfter(response.headers()));
            return;
        }
        if (response.decoderResult().isFailure()) {
            pollFailed(pollChannel, PollFailure.CONNECTION_FAILED, "truncated-response");
            return;
        }
        EndpointList endpoints;
        try {
            endpoints = EndpointList.parse(ByteBufUtil.getBytes(response.content()));
        } catch (IOException | RuntimeException e) {
            pollFailed(pollChannel, PollFailure.MALFORMED, "malformed-list");
            return;
        }
        if (polling.needsFullList() ? !endpoints.full() : endpoints.seq() < seq) {
            // A list that is older than the current one, or a delta to a different list, is useless; only a complete
            // list that was requested may be older.
            pollFailed(pollChannel, PollFailure.STALE, "stale-list");
            return;
        }
        cancelTimeout();
        if (polling.consecutiveFailures() > 0) {
            Log.line("discovery recovered failures=" + polling.consecutiveFailures());
        }
        long now = System.nanoTime();
        polling.recordSuccess(now - responseExpectedAt);
        listReceived = true;
        awaitingPollSlot = false;
        staleness.confirm(now);
        long previousSeq = seq;
        seq = endpoints.seq();
        if (!HttpUtil.isKeepAlive(response)) {
            channel = null;
            pollChannel.close();
        }
        if (!apply(endpoints, previousSeq)) {
            return;
        }
        boolean emptyPoll = endpoints.endpoints().isEmpty() && now - pollStartedAt < EMPTY_POLL_PAUSE_NANOS;
        schedulePoll(emptyPoll ? EMPTY_POLL_PAUSE_NANOS : polling.pauseBetweenPolls());
    }

    /** Passes a list on; if it cannot be applied, it is requested again after the delay of a failed poll. */
    private boolean apply(EndpointList endpoints, long previousSeq) {
        try {
            onUpdate.accept(endpoints);
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            Log.failure("endpoint list not applied seq=" + endpoints.seq(), e);
            seq = previousSeq;
            schedulePoll(polling.recordFailure(PollFailure.MALFORMED, 0));
            return false;
        }
    }

    /** Receives the responses on one connection to the discovery service, on the event loop. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            responseReceived(context.channel(), response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (timeout != null) {
                pollFailed(context.channel(), PollFailure.CONNECTION_FAILED, "connection-closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
