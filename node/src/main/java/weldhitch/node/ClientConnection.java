package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * Handles one downstream connection: the state machine that receives its requests one by one, passes each
 * to the {@link Dispatcher} and writes the response that this returns. Owns the collaborators that validate
 * heads, queue pipelined input, decide timeouts and encode responses. Created by
 * {@link ClientConnectionManager}; not thread-safe, confined to the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientCallback {
    /** The listener side that accepted the connection. All of its methods are called on the event loop. */
    interface Owner {
        /** The connection has been accepted. */
        void opened(ClientConnection connection);

        /** The connection has closed. */
        void closed(ClientConnection connection);

        /** The connection has become idle, or has stopped being so. */
        void idleChanged(ClientConnection connection, boolean isIdle);
    }

    private final Owner owner;
    private final ClientPolicy policy;
    private final Dispatcher dispatcher;
    private final Clock clock;
    private final ResourceLimits limits;
    private final SocketChannel channel;
    private final ClientRequestParser requestParser;
    private final PipelinedInput pipelined;
    private final ConnectionDeadlines deadlines;
    private final ClientResponseWriter responseWriter;

    private ClientConnectionState state = ClientConnectionState.IDLE;
    /** The request that is being received or answered; null if there is none. */
    private InFlightRequest inFlight;
    /** Where the streamed response comes from; null if none is streamed. */
    private StreamSource source;

    ClientConnection(
            Owner owner,
            ClientPolicy policy,
            Dispatcher dispatcher,
            Clock clock,
            ResourceLimits limits,
            SocketChannel channel) {
        this.owner = owner;
        this.policy = policy;
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.limits = limits;
        this.channel = channel;
        requestParser = new ClientRequestParser(policy::requestClass);
        pipelined = new PipelinedInput(limits);
        deadlines = new ConnectionDeadlines(clock.now());
        responseWriter = new ClientResponseWriter(
                channel,
                clock,
                deadlines,
                () -> policy.sendsConnectionClose() || pipelined.isExhausted(),
                dispatcher::reportsVersion);
    }

    ChannelHandler byteObserver() {
        return new ByteObserver(pipelined, deadlines, this::bytesArrived);
    }

    private void bytesArrived() {
        if (state == ClientConnectionState.IDLE && !deadlines.isReadingHead()) {
            deadlines.headStarted(clock.now());
            owner.idleChanged(this, false);
        }
    }

    void close() {
        channel.close();
    }

    /** Closes the connection between two requests. Unread bytes are read first: a reset would lose their request. */
    void closeIfIdle() {
        if (channel.isOpen() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe reads) {
            reads.read();
        }
        if (state == ClientConnectionState.IDLE && !deadlines.isReadingHead()) {
            owner.idleChanged(this, false);
            close();
        }
    }

    long idleFor(long now) {
        return deadlines.timeInState(now);
    }

    private void transitionTo(ClientConnectionState next) {
        state = next;
        deadlines.stateChanged(clock.now());
        owner.idleChanged(this, next == ClientConnectionState.IDLE);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        owner.opened(this);
        owner.idleChanged(this, true);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (pipelined.isDiscarding()) {
            ReferenceCountUtil.release(message);
        } else if (!pipelined.isEmpty() || mustQueue()) {
            pipelined.enqueue(message);
        } else {
            handleMessage(message);
        }
    }

    private boolean mustQueue() {
        return state == ClientConnectionState.WAITING
                || state == ClientConnectionState.STREAMING
                || !channel.isWritable();
    }

    /** Processes queued input; a client that does not read its responses gets no further ones. */
    private void processPipelined() {
        while (!pipelined.isEmpty() && !mustQueue()) {
            handleMessage(pipelined.poll());
        }
        if (pipelined.isExhausted() && !mustQueue() && state != ClientConnectionState.CLOSING) {
            // The rest of a request was discarded. None of it was forwarded, so the client may retry.
            abortRequest(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!channel.isWritable()) {
            return;
        }
        if (source != null) {
            source.resume();
        }
        processPipelined();
    }

    private void handleMessage(Object message) {
        try {
            if (state == ClientConnectionState.CLOSING) {
                return;
            }
            if (message instanceof HttpRequest request) {
                handleHead(request);
            }
            if (message instanceof HttpContent content && state != ClientConnectionState.CLOSING) {
                if (content.decoderResult().isFailure()) {
                    rejectMalformed(content.decoderResult().cause());
                } else {
                    handleContent(content);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpRequest request) {
        deadlines.requestStarted();
        responseWriter.requestVersion(request.protocolVersion());
        if (request.decoderResult().isFailure()) {
            rejectMalformed(request.decoderResult().cause());
            return;
        }
        responseWriter.keepAlive(HttpUtil.isKeepAlive(request));
        transitionTo(ClientConnectionState.RECEIVING);
        String path = ClientRequestParser.path(request.uri());
        if (path.equals("/ready") && request.method().equals(HttpMethod.GET)) {
            respond(policy.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            return;
        }
        ClientRequestParser.Result result = requestParser.parse(request, path);
        if (result instanceof ClientRequestParser.Rejected rejected) {
            respond(rejected.status(), 0);
        } else if (result instanceof ClientRequestParser.Accepted accepted) {
            startRequest(request, accepted);
        }
    }

    private void startRequest(HttpRequest request, ClientRequestParser.Accepted accepted) {
        if (policy.overloaded()) {
            respondAndDisableKeepAlive(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        BufferedBody body = new BufferedBody(limits, accepted.contentLength());
        inFlight = new InFlightRequest(accepted.toClientRequest(request, body), accepted.timeout(), this);
        if (HttpUtil.is100ContinueExpected(request)) {
            responseWriter.writeContinue();
        }
    }

    private void handleContent(HttpContent content) {
        if (state == ClientConnectionState.RECEIVING && inFlight != null) {
            BufferedBody body = inFlight.request.body();
            if (body.size() + content.content().readableBytes() > ClientRequestParser.MAX_BODY_BYTES) {
                respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0);
            } else if (!body.add(content.content())) {
                // None of it was forwarded, so the client may retry once memory is free.
                respond(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            }
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (state == ClientConnectionState.DISCARDING_BODY) {
            requestCompleted();
        } else if (state == ClientConnectionState.RECEIVING && dispatcher.isInFlight(inFlight.request.id())) {
            respond(HttpResponseStatus.BAD_REQUEST, 0);
            requestCompleted();
        } else if (state == ClientConnectionState.RECEIVING) {
            long timeout = policy.allowedTime(inFlight);
            if (timeout == 0) {
                // It has not been executed, and another node has the time for it.
                respondAndDisableKeepAlive(HttpResponseStatus.SERVICE_UNAVAILABLE);
                requestCompleted();
                return;
            }
            inFlight.timeout = timeout;
            transitionTo(ClientConnectionState.WAITING);
            dispatcher.dispatch(inFlight);
        }
    }

    /** Where the next request would begin is unknown: nothing more is read from this client. */
    private void rejectMalformed(Throwable cause) {
        if (state != ClientConnectionState.DISCARDING_BODY) {
            state = ClientConnectionState.RECEIVING;
        }
        abortRequest(ClientRequestParser.malformedStatus(cause));
    }

    /** Answers a request that has not been received completely, unless it is answered already, and closes. */
    private void abortRequest(HttpResponseStatus status) {
        if (state == ClientConnectionState.RECEIVING) {
            respondAndDisableKeepAlive(status);
        }
        closeGracefully();
    }

    @Override
    public void served(ServerResponse serverResponse) {
        responseWriter.writeServed(serverResponse, inFlight);
        responseWritten();
    }

    @Override
    public void rejected(long retryAfter) {
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter);
    }

    @Override
    public void failed(boolean timedOut) {
        respond(timedOut ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void respond(HttpResponseStatus status, long retryAfter) {
        responseWriter.writeStatus(status, retryAfter, inFlight);
        responseWritten();
    }

    /** Answers a request after which the connection closes. */
    private void respondAndDisableKeepAlive(HttpResponseStatus status) {
        responseWriter.keepAlive(false);
        respond(status, 0);
    }

    private void responseWritten() {
        if (state == ClientConnectionState.RECEIVING) {
            if (inFlight != null) {
                inFlight.request.body().release();
                inFlight = null;
            }
            transitionTo(ClientConnectionState.DISCARDING_BODY);
        } else {
            requestCompleted();
        }
    }

    /** The request is done: it has been answered and its last byte read. */
    private void requestCompleted() {
        inFlight = null;
        if (responseWriter.keepAlive()) {
            transitionTo(ClientConnectionState.IDLE);
            if (!pipelined.isEmpty()) {
                channel.eventLoop().execute(this::processPipelined);
            }
        } else {
            closeGracefully();
        }
    }

    private void closeGracefully() {
        transitionTo(ClientConnectionState.CLOSING);
        pipelined.release();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
    }

    /** Closes the connection if only the client's own close is outstanding. */
    void closeIfLingering() {
        if (state == ClientConnectionState.CLOSING && !deadlines.hasPendingWrites()) {
            close();
        }
    }

    @Override
    public void streamStarted(StreamSource from, ServerResponse serverResponse) {
        transitionTo(ClientConnectionState.STREAMING);
        source = from;
        responseWriter.startStream(serverResponse, inFlight);
    }

    @Override
    public void streamData(ByteBuf bytes) {
        responseWriter.streamData(bytes);
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void streamEnded(boolean complete) {
        source = null;
        if (complete) {
            responseWriter.endStream();
            requestCompleted();
        } else {
            responseWriter.resetStream();
        }
    }

    /** Ends or closes the connection if one of its timeouts has expired. */
    void checkTimeouts(long now) {
        switch (deadlines.expiry(state, now)) {
            case HEAD -> {
                state = ClientConnectionState.RECEIVING;
                abortRequest(HttpResponseStatus.REQUEST_TIMEOUT);
            }
            case IDLE -> closeIfIdle();
            case BODY -> abortRequest(HttpResponseStatus.REQUEST_TIMEOUT);
            case LINGER -> close();
            case NONE -> {}
        }
        if (deadlines.writeStalled(now, channel.isWritable())) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ClientConnectionState previousState = state;
        state = ClientConnectionState.CLOSING;
        owner.closed(this);
        pipelined.release();
        if (source != null) {
            StreamSource from = source;
            source = null;
            from.sinkClosed();
        } else if (previousState == ClientConnectionState.WAITING) {
            dispatcher.clientDisconnected(inFlight);
        } else if (inFlight != null) {
            inFlight.request.body().release();
        }
        inFlight = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // An IOException is the client's reset: its request is cancelled like on any other close.
        if (!(cause instanceof IOException)) {
            Log.failure("client connection failed", cause);
        }
        close();
    }
}
