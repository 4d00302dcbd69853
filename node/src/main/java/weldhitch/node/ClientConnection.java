package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;

/**
 * State machine of one downstream connection: receives requests one by one, passes each to the {@link Dispatcher} and
 * writes its response. Created by {@link ClientConnectionManager}; not thread-safe, confined to the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientCallback, InputSequencer.Receiver {
    private final ClientConnectionListener<ClientConnection> owner;
    private final ClientPolicy policy;
    private final Dispatcher dispatcher;
    private final ConnectionContext context;
    private final SocketChannel channel;
    private final ClientInput input;
    private final ClientRequestParser requestParser;
    private final InputSequencer sequencer;
    private final ConnectionDeadlines deadlines;
    private final ClientResponseWriter responseWriter;

    private ClientConnectionState state = ClientConnectionState.IDLE;
    /** The request that is being received or answered; null if there is none. */
    private InFlightRequest inFlight;
    /** How many bytes of the current request's body have not been received; {@code Long.MAX_VALUE} if unknown. */
    private long expectedBodyBytes;
    /** The source of the response that is being streamed; null if none is. */
    private StreamSource source;

    ClientConnection(
            ClientConnectionListener<ClientConnection> owner,
            ClientPolicy policy,
            Dispatcher dispatcher,
            ConnectionContext context,
            SocketChannel channel) {
        this.owner = owner;
        this.policy = policy;
        this.dispatcher = dispatcher;
        this.context = context;
        this.channel = channel;
        input = new ClientInput(channel, context.clock(), context.polls());
        requestParser = new ClientRequestParser(policy::requestClass);
        sequencer = new InputSequencer(channel, context, input, this);
        deadlines = new ConnectionDeadlines(now());
        responseWriter = new ClientResponseWriter(
                channel,
                context.clock(),
                context.limits(),
                deadlines,
                () -> policy.sendsConnectionClose() || sequencer.isExhausted(),
                dispatcher::reportsVersion);
    }

    /** Returns the handlers that precede and configure the decoder, and pass its messages to this connection. */
    InputSequencer sequencer() {
        return sequencer;
    }

    @Override
    public InputSequencer.Readiness readiness() {
        return state.readiness(channel.isWritable());
    }

    @Override
    public long expectedBodyBytes() {
        return expectedBodyBytes;
    }

    @Override
    public void bytesArrived(int count) {
        deadlines.bytesReceived(count, now());
    }

    @Override
    public void parsing() {
        if (state == ClientConnectionState.IDLE && !deadlines.isReadingHead()) {
            deadlines.headStarted(now());
            owner.idleChanged(this, false);
        }
    }

    private void close(NodeEvent.Close reason) {
        context.events().count(NodeEvent.CLIENT_CLOSED, reason, null);
        channel.close();
    }

    void closeIfIdle() {
        // Closing with unread bytes would reset the connection and lose the request that they hold.
        PendingInput.read(channel);
        if (channel.isActive() && isIdle()) {
            owner.idleChanged(this, false);
            close(NodeEvent.Close.IDLE);
        }
    }

    private boolean isIdle() {
        return state == ClientConnectionState.IDLE && !deadlines.isReadingHead() && !sequencer.hasInput();
    }

    private long now() {
        return context.clock().now();
    }

    long idleFor(long now) {
        return deadlines.timeInState(now);
    }

    private void transitionTo(ClientConnectionState next) {
        state = next;
        deadlines.stateChanged(now());
        owner.idleChanged(this, next == ClientConnectionState.IDLE);
        sequencer.updateReading();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        owner.opened(this);
        owner.idleChanged(this, true);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        sequencer.messageDecoded(message);
    }

    @Override
    public void inputExhausted() {
        // A request, or the rest of one, was discarded. None of it was forwarded, so the client may retry.
        abortRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, NodeEvent.Close.PIPELINING_LIMIT);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!channel.isWritable()) {
            return;
        }
        if (source != null) {
            source.resume();
        }
        sequencer.resume();
    }

    @Override
    public boolean handleMessage(Object message, long arrivedAt) {
        if (state != ClientConnectionState.CLOSING && message instanceof HttpRequest request) {
            handleHead(request);
        }
        if (state != ClientConnectionState.CLOSING && message instanceof HttpContent content) {
            if (content.decoderResult().isFailure()) {
                rejectMalformed(content.decoderResult().cause());
            } else {
                handleContent(content, arrivedAt);
            }
        }
        return inFlight != null
                && message instanceof HttpRequest request
                && inFlight.request.headers() == request.headers();
    }

    private void handleHead(HttpRequest request) {
        deadlines.requestStarted();
        expectedBodyBytes = Long.MAX_VALUE;
        responseWriter.requestVersion(request.protocolVersion());
        if (request.decoderResult().isFailure()) {
            rejectMalformed(request.decoderResult().cause());
            return;
        }
        responseWriter.keepAliveAsRequested(request);
        transitionTo(ClientConnectionState.RECEIVING);
        String path = ClientRequestParser.path(request.uri());
        ClientRequestParser.Result result = requestParser.parse(request, path);
        if (result instanceof ClientRequestParser.Rejected rejected) {
            respond(rejected.status(), 0);
        } else if (result instanceof ClientRequestParser.Accepted accepted) {
            startRequest(request, accepted);
        } else if (result instanceof ClientRequestParser.ReadinessQuery) {
            respond(policy.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        } else if (result instanceof ClientRequestParser.ScopeQuery query) {
            responseWriter.writeDeduplicationScope(query.requestClass());
            responseWritten();
        }
    }

    private void startRequest(HttpRequest request, ClientRequestParser.Accepted accepted) {
        expectedBodyBytes = accepted.contentLength() < 0 ? Long.MAX_VALUE : accepted.contentLength();
        Rejection rejection = policy.admitHead();
        if (rejection != null) {
            reject(rejection, accepted.id());
            return;
        }
        BufferedBody body = new BufferedBody(context.limits(), accepted.contentLength());
        inFlight = new InFlightRequest(accepted.toClientRequest(request, body), accepted.timeout(), this);
        responseWriter.writeContinueIfExpected(request);
    }

    private void handleContent(HttpContent content, long arrivedAt) {
        expectedBodyBytes -= content.content().readableBytes();
        if (state == ClientConnectionState.RECEIVING && inFlight != null) {
            Rejection rejection = inFlight.receiveBody(content.content());
            if (rejection != null) {
                reject(rejection, inFlight.request.id());
            }
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (state == ClientConnectionState.DISCARDING_BODY) {
            requestCompleted();
        } else if (state == ClientConnectionState.RECEIVING) {
            inFlight.receivedAt = arrivedAt;
            transitionTo(ClientConnectionState.RECEIVED);
            // Not within this read: dispatching reads further input, to check whether the client is still connected.
            channel.eventLoop().execute(this::dispatchReceived);
        }
    }

    /** Dispatches or rejects the received request; does nothing if its client has disconnected in the meantime. */
    private void dispatchReceived() {
        if (state != ClientConnectionState.RECEIVED) {
            return;
        }
        Rejection rejection = policy.admit(inFlight);
        if (rejection == null) {
            transitionTo(ClientConnectionState.WAITING);
            dispatcher.dispatch(inFlight);
        } else {
            reject(rejection, inFlight.request.id());
        }
    }

    /** Rejects a request that has not been dispatched. */
    private void reject(Rejection reason, String id) {
        context.events().count(NodeEvent.REQUEST_REJECTED, reason, id);
        responseWriter.keepAlive(responseWriter.keepAlive() && !reason.closesConnection());
        respond(reason.status(), 0);
    }

    /** Answers malformed input and reads nothing more, because the position of the next request is unknown. */
    private void rejectMalformed(Throwable cause) {
        abortRequest(ClientRequestParser.malformedStatus(cause), ClientRequestParser.closeReason(cause));
    }

    /** Answers an incompletely received request, unless it has already been answered, and closes the connection. */
    private void abortRequest(HttpResponseStatus status, NodeEvent.Close reason) {
        context.events().count(NodeEvent.CLIENT_CLOSED, reason, inFlight == null ? null : inFlight.request.id());
        if (state != ClientConnectionState.DISCARDING_BODY) {
            state = ClientConnectionState.RECEIVING;
            responseWriter.keepAlive(false);
            respond(status, 0);
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

    private void responseWritten() {
        boolean bodyIncomplete = state == ClientConnectionState.RECEIVING;
        if (inFlight != null && (bodyIncomplete || state == ClientConnectionState.RECEIVED)) {
            inFlight.request.release();
            inFlight = null;
        }
        if (bodyIncomplete) {
            transitionTo(ClientConnectionState.DISCARDING_BODY);
        } else {
            requestCompleted();
        }
    }

    /** Called when the request has been answered and its last byte has been read. */
    private void requestCompleted() {
        inFlight = null;
        if (responseWriter.keepAlive()) {
            transitionTo(ClientConnectionState.IDLE);
            if (sequencer.hasInput() || sequencer.isExhausted()) {
                channel.eventLoop().execute(sequencer::resume);
            }
        } else {
            closeGracefully();
        }
    }

    private void closeGracefully() {
        transitionTo(ClientConnectionState.CLOSING);
        owner.closing(this);
        sequencer.release();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
    }

    /** Closes the connection if it only waits for the client to close its side. */
    void closeIfLingering() {
        if (state == ClientConnectionState.CLOSING && !deadlines.hasPendingWrites()) {
            close(NodeEvent.Close.LINGERING);
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
    public ClientPresence presence() {
        return input.presence();
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

    /** Ends the request or closes the connection if a timeout expired. First reads pending input, which may end it. */
    void checkTimeouts(long now) {
        if (deadlines.expiry(state, now) != ConnectionDeadlines.Expiry.NONE) {
            PendingInput.read(channel);
        }
        switch (deadlines.expiry(state, now)) {
            case IDLE -> closeIfIdle();
            case HEAD, BODY -> abortRequest(HttpResponseStatus.REQUEST_TIMEOUT, NodeEvent.Close.REQUEST_TIMEOUT);
            case LINGER -> close(NodeEvent.Close.LINGERING);
            case NONE -> {}
        }
        if (deadlines.writeStalled(now, channel.isWritable(), context.limits().underPressure())) {
            close(NodeEvent.Close.UNREAD_RESPONSE);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ClientConnectionState previousState = state;
        state = ClientConnectionState.CLOSING;
        owner.closed(this);
        sequencer.release();
        if (source != null) {
            StreamSource from = source;
            source = null;
            from.sinkClosed();
        } else if (previousState == ClientConnectionState.WAITING) {
            dispatcher.clientDisconnected(inFlight);
        } else if (inFlight != null) {
            inFlight.request.release();
        }
        inFlight = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // An IOException means that the client reset the connection: its request is cancelled as on any other close.
        if (!(cause instanceof IOException)) {
            Log.failure("client connection failed", cause);
        }
        channel.close();
    }
}
