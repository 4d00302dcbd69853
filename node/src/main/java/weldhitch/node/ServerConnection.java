package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import weldhitch.decision.endpoint.AttemptOutcome;

/**
 * One upstream HTTP/1.1 connection: writes one attempt at a time, buffers or streams the response, and reports
 * the outcome to the {@link AttemptListener}. Pooled by {@link ServerConnectionPool}; not thread-safe, confined to
 * the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements StreamSource, Attempt.Transport {
    /** The pool that owns the connection. All of its methods are called on the event loop. */
    interface Owner {
        /** The response is complete and the connection can be reused. */
        void release(ServerConnection connection);

        /** The connection has closed. */
        void closed(ServerConnection connection);

        /**
         * A connection that had been idle for {@code idle} nanoseconds carried a request and now delivers its
         * response.
         */
        void reuseSucceeded(long idle, long now);

        /** A reused connection broke as soon as a request was written to it. */
        void reuseFailed();
    }

    /**
     * Responses up to this size are buffered completely, so that an attempt with a truncated one can be
     * retried. Longer ones are streamed if their class allows it; for other classes no body is longer, and one
     * that claims to be is an error.
     */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /**
     * A response without a stated length is buffered only for this time and up to this size: if it turns out to
     * be long, its client's latency is measured to the first bytes, and a slow server takes a second for 64
     * KiB.
     */
    private static final int MAX_BUFFERED_UNSIZED_BYTES = 16 * 1024;

    private static final long MAX_UNSIZED_BUFFERING_NANOS = 100_000_000L;
    /** Servers pause within a response for 0.1 s at most; one that is silent for this long has broken off. */
    private static final long STREAM_IDLE_TIMEOUT_NANOS = 5_000_000_000L;

    private static final int MAX_DISCARDED_BYTES = 64 * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long REUSE_FAILURE_WINDOW_NANOS = 10 * NANOS_PER_MILLI;

    final String endpointId;
    /** The endpoint's incarnation when the connection was opened. */
    final long incarnation;

    final Channel channel;
    long idleSince;
    private int requestCount;
    private long requestStartedAt;
    private final Owner owner;
    private final AttemptListener listener;
    private final Clock clock;
    private final ResourceLimits limits;
    private final HeaderValidator headerValidator = new HeaderValidator();
    /** The attempt that waits for its outcome, or null. */
    private Attempt attempt;

    private boolean busy;
    private boolean requestWritten;
    /** The request body is written chunk by chunk as the socket has room; a small one is written at once. */
    private boolean writesInChunks;

    private int nextChunk;
    private boolean informational;
    private boolean responseStarted;
    private boolean keepAlive;
    private int discardedBytes;
    private ServerResponse serverResponse;
    private boolean forward;
    private StreamSink sink;
    private long lastProgressAt;

    ServerConnection(
            Owner owner,
            AttemptListener listener,
            Clock clock,
            ResourceLimits limits,
            String endpointId,
            long incarnation,
            Channel channel) {
        this.owner = owner;
        this.listener = listener;
        this.clock = clock;
        this.limits = limits;
        this.endpointId = endpointId;
        this.incarnation = incarnation;
        this.channel = channel;
    }

    /** Validates a response's head before it is parsed. */
    ChannelHandler headValidationHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (busy && message instanceof ByteBuf bytes && !headerValidator.valid(bytes)) {
                    ReferenceCountUtil.release(message);
                    failResponse();
                } else {
                    context.fireChannelRead(message);
                }
            }
        };
    }

    boolean usable() {
        return channel.isActive() && !busy;
    }

    void close() {
        channel.close();
    }

    // ---- the request ----

    void start(Attempt next) {
        attempt = next;
        next.transport = this;
        busy = true;
        requestWritten = false;
        responseStarted = false;
        keepAlive = false;
        discardedBytes = 0;
        nextChunk = 0;
        lastProgressAt = clock.now();
        requestStartedAt = lastProgressAt;
        headerValidator.expectResponse();
        requestCount++;
        ClientRequest request = next.request;
        HttpHeaders headers = Headers.forwardedHeaders(request, next.deadline - lastProgressAt);
        if (request.body().size() <= MAX_BUFFERED_BYTES) {
            writesInChunks = false;
            ByteBuf body = request.body().size() == 0
                    ? Unpooled.EMPTY_BUFFER
                    : request.body().asSingleBuffer();
            channel.writeAndFlush(
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            request.method(),
                            request.uri(),
                            body,
                            headers,
                            EmptyHttpHeaders.INSTANCE),
                    writePromise(next));
        } else {
            writesInChunks = true;
            channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers));
            writeChunks();
        }
    }

    private void writeChunks() {
        Attempt current = attempt;
        while (current != null
                && attempt == current
                && nextChunk < current.request.body().chunks()
                && channel.isWritable()) {
            int index = nextChunk++;
            boolean last = nextChunk == current.request.body().chunks();
            lastProgressAt = clock.now();
            channel.writeAndFlush(new DefaultHttpContent(current.request.body().chunk(index)));
            if (last) {
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, writePromise(current));
            }
        }
    }

    /**
     * Completes as the write happens, so that whatever else happens within the write, such as the buffer
     * becoming writable again, finds the attempt already written. A listener added after the call has returned
     * would run later than all that.
     */
    private ChannelPromise writePromise(Attempt writtenAttempt) {
        ChannelPromise promise = channel.newPromise();
        promise.addListener(f -> writeCompleted(writtenAttempt, f.isSuccess()));
        return promise;
    }

    private void writeCompleted(Attempt writtenAttempt, boolean success) {
        if (success && attempt == writtenAttempt) {
            writtenAttempt.requestWritten = true;
            requestWritten = true;
            lastProgressAt = clock.now();
        } else if (!success) {
            connectionLost();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (writesInChunks && attempt != null && !attempt.requestWritten) {
            writeChunks();
        }
    }

    // ---- the answer ----

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            lastProgressAt = clock.now();
            if (!busy) {
                close();
                return;
            }
            if (message instanceof HttpResponse response) {
                handleHead(response);
            }
            if (message instanceof HttpContent content) {
                if (content.decoderResult().isFailure()) {
                    endAttempt(AttemptOutcome.RESET);
                    close();
                } else if (informational) {
                    informational = !(content instanceof LastHttpContent);
                } else {
                    handleContent(content);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            failResponse();
            return;
        }
        int status = response.status().code();
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            informational = true;
            return;
        }
        if (requestCount > 1) {
            owner.reuseSucceeded(requestStartedAt - idleSince, lastProgressAt);
        }
        responseStarted = true;
        keepAlive = HttpUtil.isKeepAlive(response);
        if (status == 200) {
            long length = HttpUtil.getContentLength(response, -1L);
            if (length > MAX_BUFFERED_BYTES
                    && attempt != null
                    && !attempt.request.requestClass().streamed()) {
                failResponse();
                return;
            }
            serverResponse = new ServerResponse(
                    response.headers().get(HttpHeaderNames.CONTENT_TYPE), length, new BufferedBody(limits, length));
            forward = false;
            if (length < 0 && attempt != null && attempt.request.requestClass().streamed()) {
                ServerResponse buffered = serverResponse;
                channel.eventLoop()
                        .schedule(
                                () -> bufferingTimeElapsed(buffered),
                                MAX_UNSIZED_BUFFERING_NANOS,
                                TimeUnit.NANOSECONDS);
            }
            return;
        }
        // A rejection counts as not executed only if the server states so; a bare 503 may have run.
        boolean notExecuted = (status == 503 || status == 504)
                && "1".equals(response.headers().get("X-Never-Ran"));
        endAttempt(notExecuted ? AttemptOutcome.FULL : AttemptOutcome.ERROR);
    }

    private void handleContent(HttpContent content) {
        if (sink != null) {
            sink.streamData(content.content().retain());
            if (!sink.isWritable()) {
                channel.config().setAutoRead(false);
            }
        } else if (serverResponse != null && attempt != null) {
            buffer(content.content());
        } else {
            discardedBytes += content.content().readableBytes();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                close();
            }
        }
        if (content instanceof LastHttpContent) {
            completeResponse();
        }
    }

    private void buffer(ByteBuf bytes) {
        if (!attempt.request.requestClass().streamed()) {
            if (serverResponse.body().size() + bytes.readableBytes() > MAX_BUFFERED_BYTES
                    || !serverResponse.body().add(bytes)) {
                failResponse();
            }
            return;
        }
        int maxBytes = serverResponse.length() < 0 ? MAX_BUFFERED_UNSIZED_BYTES : MAX_BUFFERED_BYTES;
        boolean fits = serverResponse.length() <= MAX_BUFFERED_BYTES
                && serverResponse.body().size() + bytes.readableBytes() <= maxBytes;
        if (!fits || forward || !serverResponse.body().add(bytes)) {
            forward(bytes);
        }
    }

    private void bufferingTimeElapsed(ServerResponse buffered) {
        if (serverResponse == buffered && attempt != null && sink == null) {
            forward = true;
            if (buffered.body().size() > 0) {
                forward(Unpooled.EMPTY_BUFFER);
            }
        }
    }

    private void forward(ByteBuf bytes) {
        if (!bytes.isReadable() && serverResponse.body().size() == 0) {
            return;
        }
        StreamSink target = listener.openStream(attempt);
        if (target == null) {
            return;
        }
        sink = target;
        sink.streamStarted(this, serverResponse);
        if (serverResponse.body().size() > 0) {
            sink.streamData(serverResponse.body().asSingleBuffer());
            serverResponse.body().release();
        }
        if (bytes.isReadable()) {
            sink.streamData(bytes.retain());
        }
        if (!sink.isWritable()) {
            channel.config().setAutoRead(false);
        }
    }

    /** The response is unusable. The request may have been executed, and the connection cannot be reused. */
    private void failResponse() {
        endAttempt(AttemptOutcome.ERROR);
        close();
    }

    private void completeResponse() {
        StreamSink target = sink;
        sink = null;
        if (target != null) {
            target.streamEnded(true);
        }
        endAttempt(AttemptOutcome.OK);
        busy = false;
        responseStarted = false;
        if (keepAlive && requestWritten && channel.isActive()) {
            channel.config().setAutoRead(true);
            owner.release(this);
        } else {
            close();
        }
    }

    /** Ends the attempt, if it is still pending, and releases what was buffered of the response. */
    private void endAttempt(AttemptOutcome outcome) {
        Attempt current = attempt;
        ServerResponse buffered = serverResponse;
        StreamSink target = sink;
        attempt = null;
        serverResponse = null;
        sink = null;
        if (target != null) {
            target.streamEnded(false);
        }
        if (current != null) {
            listener.ended(current, outcome, current.streaming ? null : buffered);
        }
        if (buffered != null) {
            buffered.body().release();
        }
    }

    @Override
    public void abort() {
        attempt = null;
        endAttempt(AttemptOutcome.CANCELLED);
        close();
    }

    @Override
    public void resume() {
        lastProgressAt = clock.now();
        channel.config().setAutoRead(true);
    }

    @Override
    public void sinkClosed() {
        sink = null;
        endAttempt(AttemptOutcome.CANCELLED);
        close();
    }

    /**
     * Ends a stream that its server has stalled; an attempt that waits for its first byte has its own timeout.
     */
    void checkTimeouts(long now) {
        boolean stalled = sink != null ? channel.config().isAutoRead() : busy && attempt == null;
        if (stalled && now - lastProgressAt > STREAM_IDLE_TIMEOUT_NANOS) {
            connectionLost();
        }
    }

    /**
     * The connection failed. The attempt ends before the close: the decoder takes any close for the end of a
     * response without a stated length, where only an end of stream is one (RFC 9112 section 8).
     */
    private void connectionLost() {
        failAttempt();
        close();
    }

    private void failAttempt() {
        if (attempt != null && attempt.requestWritten) {
            if (requestCount > 1 && !responseStarted && clock.now() - requestStartedAt < REUSE_FAILURE_WINDOW_NANOS) {
                owner.reuseFailed();
            }
            Log.line("server " + endpointId + " broke off request " + requestCount + " of a connection, "
                    + (clock.now() - requestStartedAt) / NANOS_PER_MILLI + " ms after its start, idle before for "
                    + (requestCount > 1 ? (requestStartedAt - idleSince) / NANOS_PER_MILLI : 0) + " ms");
        }
        endAttempt(attempt != null && !attempt.requestWritten ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failAttempt();
        owner.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection to server " + endpointId, cause);
        }
        connectionLost();
    }
}
