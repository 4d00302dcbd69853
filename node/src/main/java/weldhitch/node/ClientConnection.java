package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.List;
import weldhitch.decision.settings.RequestClass;

/**
 * Handles one downstream connection: reads requests, queues pipelined ones, enforces the read and write
 * timeouts, and writes the responses that the {@link Dispatcher} gives it. Created by {@link ClientConnectionManager}; not
 * thread-safe, confined to the event loop.
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

        /** Whether so many clients have requests in flight that a further request is rejected. */
        boolean overloaded();

        /** What {@code GET /ready} reports. */
        boolean ready();

        /**
         * Whether a response written now asks its client to reconnect elsewhere ({@code Connection: close}).
         */
        boolean sendsConnectionClose();

        /** The request class of this name, or null. */
        RequestClass requestClass(String name);

        /**
         * Nanoseconds that a completely received request may take; 0 if this node shuts down too soon to serve
         * it.
         */
        long allowedTime(InFlightRequest request);
    }

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MAX_BODY_BYTES = 32L << 20;
    /**
     * A client that stalls within a request is answered within 3 s; the sweep interval takes its part of them.
     */
    private static final long HEAD_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;

    private static final long BODY_GRACE_NANOS = 2 * NANOS_PER_SECOND;
    private static final long MIN_BODY_BYTES_PER_SECOND = 32 * 1024;
    private static final long IDLE_TIMEOUT_NANOS = 60 * NANOS_PER_SECOND;
    /**
     * Clients open a connection for a request that waits; one that never sends anything is closed this soon.
     */
    private static final long FIRST_REQUEST_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;
    /** How long a client may leave a response unread. */
    private static final long WRITE_TIMEOUT_NANOS = 30 * NANOS_PER_SECOND;

    private static final long LINGER_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;
    /**
     * Memory that the pipelined input of one connection may use. Input is read on even while a request is in
     * flight, as nothing else shows that the client has disconnected; what exceeds this limit is discarded, and
     * the connection closes after the responses to the requests that were queued.
     */
    private static final int MAX_PIPELINED_BYTES = 512 * 1024;
    /** Estimated memory of a pipelined head, and of a body chunk in addition to its bytes. */
    private static final int PIPELINED_HEAD_BYTES = 2 * 1024;

    private static final int PIPELINED_CONTENT_OVERHEAD_BYTES = 128;
    /** Upper bound of a request's timeout; a larger {@code X-Expires-In} is reduced to it. */
    private static final long MAX_REQUEST_TIMEOUT_NANOS = 60 * NANOS_PER_SECOND;

    /** Progress of the current request. */
    private enum State {
        /** Between requests. */
        IDLE,
        /** A request's head has been read, its body not completely. */
        RECEIVING,
        /** A request has been received completely and has no response yet. */
        WAITING,
        /** A response is being streamed. */
        STREAMING,
        /** The response has been written; the rest of the request body is read and discarded. */
        DISCARDING_BODY,
        CLOSING
    }

    private final Owner owner;
    private final Dispatcher dispatcher;
    private final Clock clock;
    private final ResourceLimits limits;
    private final SocketChannel channel;
    private final ArrayDeque<Object> pipelined = new ArrayDeque<>();
    private int pipelinedBytes;
    /** Pipelined input has been discarded: nothing after it is read any more. */
    private boolean inputDiscarded;

    private State state = State.IDLE;
    private long stateSince;
    /** When the first byte of a still incomplete head arrived; 0 if there is none. */
    private long headStartedAt;

    private long bytesReceived;
    private InFlightRequest inFlight;
    private StreamSource source;
    private boolean keepAlive;
    /** Whether a request has ever started on this connection. */
    private boolean requestSeen;

    private HttpVersion httpVersion = HttpVersion.HTTP_1_1;
    private long pendingWriteSince;
    private int pendingWrites;

    ClientConnection(Owner owner, Dispatcher dispatcher, Clock clock, ResourceLimits limits, SocketChannel channel) {
        this.owner = owner;
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.limits = limits;
        this.channel = channel;
        this.stateSince = clock.now();
    }

    /** Observes bytes before they are parsed: a head that trickles in shows nowhere else. */
    ChannelHandler byteObserver() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (inputDiscarded) {
                    ReferenceCountUtil.release(message);
                    return;
                }
                bytesReceived += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
                if (state == State.IDLE && headStartedAt == 0) {
                    headStartedAt = clock.now();
                    owner.idleChanged(ClientConnection.this, false);
                }
                context.fireChannelRead(message);
            }
        };
    }

    void close() {
        channel.close();
    }

    /**
     * Closes the connection between two requests. Bytes that have arrived unread are read first: closing over
     * them would reset the connection and lose their request.
     */
    void closeIfIdle() {
        if (channel.isOpen() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe reads) {
            reads.read();
        }
        if (state == State.IDLE && headStartedAt == 0) {
            owner.idleChanged(this, false);
            close();
        }
    }

    long idleFor(long now) {
        return now - stateSince;
    }

    private void transitionTo(State next) {
        state = next;
        stateSince = clock.now();
        headStartedAt = 0;
        owner.idleChanged(this, next == State.IDLE);
    }

    // ---- requests ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        owner.opened(this);
        owner.idleChanged(this, true);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (inputDiscarded) {
            ReferenceCountUtil.release(message);
        } else if (!pipelined.isEmpty() || mustQueue()) {
            enqueuePipelined(message);
        } else {
            handleMessage(message);
        }
    }

    /**
     * Queues pipelined input. A body chunk is copied out of its read buffer, which even one byte of it would
     * pin.
     */
    private void enqueuePipelined(Object message) {
        Object queued = message;
        if (message instanceof HttpContent content && content.content().isReadable()) {
            queued = content.replace(Unpooled.copiedBuffer(content.content()));
            content.release();
        }
        int cost = memoryCost(queued);
        if (pipelinedBytes + cost > MAX_PIPELINED_BYTES || !limits.tryReserve(cost, 0)) {
            ReferenceCountUtil.release(queued);
            inputDiscarded = true;
            return;
        }
        pipelinedBytes += cost;
        pipelined.add(queued);
    }

    private static int memoryCost(Object message) {
        return message instanceof HttpContent content
                ? PIPELINED_CONTENT_OVERHEAD_BYTES + content.content().readableBytes()
                : PIPELINED_HEAD_BYTES;
    }

    private Object pollPipelined() {
        Object next = pipelined.poll();
        int cost = memoryCost(next);
        pipelinedBytes -= cost;
        limits.release(cost);
        return next;
    }

    private void releasePipelined() {
        while (!pipelined.isEmpty()) {
            ReferenceCountUtil.release(pollPipelined());
        }
    }

    private boolean mustQueue() {
        return state == State.WAITING || state == State.STREAMING || !channel.isWritable();
    }

    /** Processes queued input; a client that does not read its responses gets no further ones. */
    private void processPipelined() {
        while (!pipelined.isEmpty() && !mustQueue()) {
            handleMessage(pollPipelined());
        }
        if (inputDiscarded && pipelined.isEmpty() && !mustQueue() && state != State.CLOSING) {
            if (state == State.RECEIVING) {
                // The rest of this request was discarded. None of it was forwarded, so the client may retry.
                keepAlive = false;
                respond(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            }
            closeGracefully();
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
            if (state == State.CLOSING) {
                return;
            }
            if (message instanceof HttpRequest request) {
                handleHead(request);
            }
            if (message instanceof HttpContent content && state != State.CLOSING) {
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
        requestSeen = true;
        bytesReceived = 0;
        httpVersion = request.protocolVersion().majorVersion() == 1 ? request.protocolVersion() : HttpVersion.HTTP_1_1;
        if (request.decoderResult().isFailure()) {
            rejectMalformed(request.decoderResult().cause());
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        transitionTo(State.RECEIVING);
        String path = path(request.uri());
        if (path.equals("/ready") && request.method().equals(HttpMethod.GET)) {
            respond(owner.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            return;
        }
        HttpResponseStatus errorStatus = startRequest(request, path);
        if (errorStatus != null) {
            respond(errorStatus, 0);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(httpVersion, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private HttpResponseStatus startRequest(HttpRequest request, String path) {
        if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.POST)) {
            return HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        List<String> requestIds = request.headers().getAll(Headers.REQUEST_ID);
        if (requestIds.size() != 1 || !isRequestId(requestIds.get(0))) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        List<String> classHeaders = request.headers().getAll(Headers.REQUEST_CLASS);
        String pathClass = firstPathSegment(path);
        RequestClass requestClass = owner.requestClass(classHeaders.isEmpty() ? pathClass : classHeaders.get(0));
        if (requestClass == null) {
            return HttpResponseStatus.NOT_FOUND;
        }
        if (classHeaders.size() > 1 || !requestClass.name().equals(pathClass)) {
            // Endpoints go by the header, the retry rules by the path: the two must agree.
            return HttpResponseStatus.BAD_REQUEST;
        }
        long timeout = parseTimeout(request.headers().getAll(Headers.EXPIRES_IN), requestClass);
        if (timeout < 0) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        long contentLength = HttpUtil.isTransferEncodingChunked(request) ? -1 : HttpUtil.getContentLength(request, 0L);
        if (contentLength > MAX_BODY_BYTES) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        if (owner.overloaded()) {
            keepAlive = false;
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        inFlight = new InFlightRequest(
                new ClientRequest(
                        requestIds.get(0),
                        requestClass,
                        request.method(),
                        request.uri(),
                        request.headers(),
                        new BufferedBody(limits, contentLength)),
                timeout,
                this);
        return null;
    }

    /**
     * The request's timeout in nanoseconds, by default its class's deadline; negative if the header is invalid.
     */
    private static long parseTimeout(List<String> headerValues, RequestClass requestClass) {
        if (headerValues.isEmpty()) {
            return requestClass.deadline();
        }
        String value = headerValues.get(0).trim();
        // Java parses more than the protocol allows as a number, Infinity for example.
        if (headerValues.size() > 1 || !isDecimal(value)) {
            return -1;
        }
        return (long) Math.min(MAX_REQUEST_TIMEOUT_NANOS, Double.parseDouble(value) * NANOS_PER_SECOND);
    }

    /**
     * 1 to 64 visible ASCII characters. A loop, as a regular expression costs a fresh node a tenth of its
     * request.
     */
    static boolean isRequestId(String text) {
        boolean valid = !text.isEmpty() && text.length() <= 64;
        for (int i = 0; valid && i < text.length(); i++) {
            valid = text.charAt(i) >= '!' && text.charAt(i) <= '~';
        }
        return valid;
    }

    /** 1 to 18 digits, then optionally a dot and up to 18 more. */
    static boolean isDecimal(String text) {
        int dot = text.indexOf('.');
        int integerDigits = dot < 0 ? text.length() : dot;
        return integerDigits >= 1
                && integerDigits <= 18
                && text.length() - integerDigits <= 19
                && areDigits(text, 0, integerDigits)
                && (dot < 0 || areDigits(text, dot + 1, text.length()));
    }

    private static boolean areDigits(String text, int from, int to) {
        for (int i = from; i < to; i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static String firstPathSegment(String path) {
        int start = path.startsWith("/") ? 1 : 0;
        int end = path.indexOf('/', start);
        return path.substring(start, end < 0 ? path.length() : end);
    }

    private void handleContent(HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (state == State.RECEIVING && inFlight != null) {
            if (inFlight.request.body().size() + content.content().readableBytes() > MAX_BODY_BYTES) {
                respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0);
            } else if (!inFlight.request.body().add(content.content())) {
                // None of it was forwarded, so the client may retry once memory is free.
                respond(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            }
        }
        if (!isLast) {
            return;
        }
        if (state == State.DISCARDING_BODY) {
            requestCompleted();
        } else if (state == State.RECEIVING && dispatcher.isInFlight(inFlight.request.id())) {
            respond(HttpResponseStatus.BAD_REQUEST, 0);
            requestCompleted();
        } else if (state == State.RECEIVING) {
            long timeout = owner.allowedTime(inFlight);
            if (timeout == 0) {
                // It has not been executed, and another node has the time for it.
                keepAlive = false;
                respond(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
                requestCompleted();
                return;
            }
            inFlight.timeout = timeout;
            transitionTo(State.WAITING);
            dispatcher.dispatch(inFlight);
        }
    }

    private void rejectMalformed(Throwable cause) {
        keepAlive = false;
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (cause instanceof TooLongHttpLineException) {
            status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
        } else if (cause instanceof TooLongHttpHeaderException) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        boolean alreadyAnswered = state == State.DISCARDING_BODY;
        if (!alreadyAnswered) {
            state = State.RECEIVING;
            respond(status, 0);
        }
        // Where the next request would begin is unknown: nothing more is read from this client.
        closeGracefully();
    }

    // ---- answers ----

    @Override
    public void served(ServerResponse serverResponse) {
        ByteBuf body =
                serverResponse.body().size() > 0 ? serverResponse.body().asSingleBuffer() : Unpooled.EMPTY_BUFFER;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(httpVersion, HttpResponseStatus.OK, body);
        if (serverResponse.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, serverResponse.contentType());
        }
        sendResponse(response);
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
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(httpVersion, status, Unpooled.EMPTY_BUFFER);
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Headers.formatSeconds(retryAfter));
        }
        sendResponse(response);
    }

    private void sendResponse(DefaultFullHttpResponse response) {
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        addRouteVersion(response);
        HttpUtil.setKeepAlive(response, updateKeepAlive());
        trackWrite(channel.writeAndFlush(response));
        if (state == State.RECEIVING) {
            if (inFlight != null) {
                inFlight.request.body().release();
                inFlight = null;
            }
            transitionTo(State.DISCARDING_BODY);
        } else {
            requestCompleted();
        }
    }

    private void addRouteVersion(HttpResponse response) {
        if (inFlight != null && inFlight.routeTable != null && dispatcher.reportsVersion()) {
            response.headers().set(Headers.ROUTE_VERSION, inFlight.routeTable.version());
        }
    }

    private boolean updateKeepAlive() {
        keepAlive &= !owner.sendsConnectionClose() && !(inputDiscarded && pipelined.isEmpty());
        return keepAlive;
    }

    private void trackWrite(ChannelFuture write) {
        pendingWrites++;
        pendingWriteSince = clock.now();
        write.addListener(f -> pendingWrites--);
    }

    /** The request is done: it has been answered and its last byte read. */
    private void requestCompleted() {
        inFlight = null;
        if (keepAlive) {
            transitionTo(State.IDLE);
            if (!pipelined.isEmpty()) {
                channel.eventLoop().execute(this::processPipelined);
            }
        } else {
            closeGracefully();
        }
    }

    private void closeGracefully() {
        transitionTo(State.CLOSING);
        releasePipelined();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
    }

    /**
     * Closes the connection if all responses have been written and only the client's own close is outstanding.
     */
    void closeIfLingering() {
        if (state == State.CLOSING && pendingWrites == 0) {
            close();
        }
    }

    // ---- answers that are passed on as they come ----

    @Override
    public void streamStarted(StreamSource from, ServerResponse serverResponse) {
        transitionTo(State.STREAMING);
        source = from;
        HttpResponse response = new DefaultHttpResponse(httpVersion, HttpResponseStatus.OK);
        if (serverResponse.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, serverResponse.contentType());
        }
        if (serverResponse.length() >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, serverResponse.length());
        } else if (httpVersion.isKeepAliveDefault()) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            keepAlive = false;
        }
        addRouteVersion(response);
        HttpUtil.setKeepAlive(response, updateKeepAlive());
        channel.write(response);
    }

    @Override
    public void streamData(ByteBuf bytes) {
        pendingWriteSince = clock.now();
        channel.writeAndFlush(new DefaultHttpContent(bytes));
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void streamEnded(boolean complete) {
        source = null;
        if (complete) {
            trackWrite(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
            requestCompleted();
        } else {
            // A reset, so that the client can tell that the response is incomplete, whatever its framing.
            channel.config().setSoLinger(0);
            channel.close();
        }
    }

    // ---- ends ----

    void checkTimeouts(long now) {
        long elapsed = now - stateSince;
        switch (state) {
            case IDLE -> {
                if (headStartedAt > 0 && now - headStartedAt > HEAD_TIMEOUT_NANOS) {
                    keepAlive = false;
                    state = State.RECEIVING;
                    respond(HttpResponseStatus.REQUEST_TIMEOUT, 0);
                    closeGracefully();
                } else if (headStartedAt == 0
                        && elapsed > (requestSeen ? IDLE_TIMEOUT_NANOS : FIRST_REQUEST_TIMEOUT_NANOS)) {
                    closeIfIdle();
                }
            }
            case RECEIVING, DISCARDING_BODY -> {
                if (elapsed > BODY_GRACE_NANOS + bytesReceived * NANOS_PER_SECOND / MIN_BODY_BYTES_PER_SECOND) {
                    keepAlive = false;
                    if (state == State.RECEIVING) {
                        respond(HttpResponseStatus.REQUEST_TIMEOUT, 0);
                    }
                    closeGracefully();
                }
            }
            case CLOSING -> {
                if (elapsed > LINGER_TIMEOUT_NANOS && pendingWrites == 0) {
                    close();
                }
            }
            case WAITING, STREAMING -> {}
        }
        if ((pendingWrites > 0 || !channel.isWritable()) && now - pendingWriteSince > WRITE_TIMEOUT_NANOS) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        State previousState = state;
        state = State.CLOSING;
        owner.closed(this);
        releasePipelined();
        if (source != null) {
            StreamSource from = source;
            source = null;
            from.sinkClosed();
        } else if (previousState == State.WAITING) {
            dispatcher.clientDisconnected(inFlight);
        } else if (inFlight != null) {
            inFlight.request.body().release();
        }
        inFlight = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection from a client", cause);
        }
        close();
    }
}
