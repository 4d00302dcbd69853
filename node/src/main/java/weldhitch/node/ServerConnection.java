package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import weldhitch.decision.endpoint.AttemptOutcome;

/**
 * One upstream HTTP/1.1 connection: runs one attempt at a time, receives and streams its response, and
 * reports the outcome to the {@link AttemptListener}. Pooled by {@link ServerConnectionPool}; not thread-safe,
 * confined to the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements StreamSource, Attempt.Transport {
    /** Maximum time that a response without a stated length is buffered. */
    private static final long MAX_UNSIZED_BUFFERING_NANOS = 100_000_000L;
    /** Servers pause for at most 0.1 s within a response; one that sends nothing for this long is treated as failed. */
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
    private final ServerConnectionOwner<ServerConnection> owner;
    private final AttemptListener listener;
    private final Clock clock;
    private final ResourceLimits limits;
    private final HeaderValidator headerValidator = new HeaderValidator();
    private final RequestWriter requestWriter;
    /** The attempt that waits for its outcome, or null. */
    private Attempt attempt;

    private boolean busy;
    private boolean informational;
    private boolean responseStarted;
    private boolean keepAlive;
    private int discardedBytes;
    /** The response that is being received; null if there is none or if its content is discarded. */
    private ResponseBuffer responseBuffer;
    /** The client that the response is streamed to; null if it is not streamed. */
    private StreamSink sink;

    private long lastProgressAt;

    ServerConnection(
            ServerConnectionOwner<ServerConnection> owner,
            AttemptListener listener,
            ConnectionContext context,
            String endpointId,
            long incarnation,
            Channel channel) {
        this.owner = owner;
        this.listener = listener;
        clock = context.clock();
        limits = context.limits();
        this.endpointId = endpointId;
        this.incarnation = incarnation;
        this.channel = channel;
        requestWriter = new RequestWriter(channel, new WriteListener());
    }

    private final class WriteListener implements RequestWriter.Listener {
        @Override
        public boolean isPending(Attempt written) {
            return attempt == written;
        }

        @Override
        public void progressed() {
            lastProgressAt = clock.now();
        }

        @Override
        public void writeFailed() {
            connectionLost();
        }
    }

    /** Returns a handler that validates a response's head before it is parsed. */
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

    /** Returns whether the connection has carried a request before. */
    boolean reused() {
        return requestCount > 0;
    }

    boolean usable() {
        return channel.isActive() && !busy;
    }

    void close() {
        channel.close();
    }

    @Override
    public void readPendingInput() {
        PendingInput.read(channel);
    }

    void start(Attempt next) {
        attempt = next;
        next.transport = this;
        busy = true;
        requestWriter.reset();
        responseStarted = false;
        keepAlive = false;
        discardedBytes = 0;
        lastProgressAt = clock.now();
        requestStartedAt = lastProgressAt;
        headerValidator.expectResponse();
        requestCount++;
        requestWriter.write(next, Headers.forwardedHeaders(next.request, next.deadline - lastProgressAt));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (attempt != null) {
            requestWriter.resume(attempt);
        }
    }

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
        if (status == HttpResponseStatus.OK.code()) {
            startResponse(response);
            return;
        }
        // A request counts as not executed only if the server states so; a 503 alone does not state that.
        boolean notExecuted = (status == 503 || status == 504)
                && "1".equals(response.headers().get(Headers.NEVER_RAN));
        endAttempt(notExecuted ? AttemptOutcome.FULL : AttemptOutcome.ERROR);
    }

    private void startResponse(HttpResponse response) {
        long length = HttpUtil.getContentLength(response, -1L);
        boolean streamed = attempt != null && attempt.request.requestClass().streamed();
        if (length > ResponseBuffer.MAX_BUFFERED_BYTES && attempt != null && !streamed) {
            failResponse();
            return;
        }
        ResponseBuffer buffer = new ResponseBuffer(new ServerResponse(
                response.headers().get(HttpHeaderNames.CONTENT_TYPE), length, new BufferedBody(limits, length)));
        responseBuffer = buffer;
        if (length < 0 && streamed) {
            channel.eventLoop()
                    .schedule(() -> bufferingTimeElapsed(buffer), MAX_UNSIZED_BUFFERING_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void handleContent(HttpContent content) {
        if (sink != null) {
            sink.streamData(content.content().retain());
            if (!sink.isWritable()) {
                channel.config().setAutoRead(false);
            }
        } else if (responseBuffer != null && attempt != null) {
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
        switch (responseBuffer.add(bytes, attempt.request.requestClass().streamed())) {
            case FORWARD -> forward(bytes);
            case UNUSABLE -> failResponse();
            case BUFFERED -> {}
        }
    }

    private void bufferingTimeElapsed(ResponseBuffer buffer) {
        if (responseBuffer == buffer && attempt != null && sink == null) {
            buffer.stopBuffering();
            if (!buffer.isEmpty()) {
                forward(Unpooled.EMPTY_BUFFER);
            }
        }
    }

    private void forward(ByteBuf bytes) {
        if (!bytes.isReadable() && responseBuffer.isEmpty()) {
            return;
        }
        StreamSink target = listener.openStream(attempt);
        if (target == null) {
            return;
        }
        sink = target;
        sink.streamStarted(this, responseBuffer.response());
        if (!responseBuffer.isEmpty()) {
            sink.streamData(responseBuffer.response().body().asSingleBuffer());
            responseBuffer.release();
        }
        if (bytes.isReadable()) {
            sink.streamData(bytes.retain());
        }
        if (!sink.isWritable()) {
            channel.config().setAutoRead(false);
        }
    }

    /** Ends the attempt of an unusable response. The request may have been executed; the connection is not reusable. */
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
        if (keepAlive && requestWriter.requestWritten() && channel.isActive()) {
            channel.config().setAutoRead(true);
            owner.release(this);
        } else {
            close();
        }
    }

    /** Ends the attempt if it is still pending, and releases the buffered part of the response. */
    private void endAttempt(AttemptOutcome outcome) {
        Attempt current = attempt;
        ResponseBuffer buffer = responseBuffer;
        StreamSink target = sink;
        attempt = null;
        responseBuffer = null;
        sink = null;
        if (target != null) {
            target.streamEnded(false);
        }
        if (current != null) {
            listener.ended(current, outcome, current.streaming || buffer == null ? null : buffer.response());
        }
        if (buffer != null) {
            buffer.release();
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
     * Ends a stream that its server has stalled. An attempt that waits for its first byte has its own timeout.
     */
    void checkTimeouts(long now) {
        boolean stalled = sink != null ? channel.config().isAutoRead() : busy && attempt == null;
        if (stalled && now - lastProgressAt > STREAM_IDLE_TIMEOUT_NANOS) {
            long progressBefore = lastProgressAt;
            // The event loop may not have read the next bytes yet.
            readPendingInput();
            if (lastProgressAt == progressBefore) {
                connectionLost();
            }
        }
    }

    /**
     * Ends the attempt of a connection that has failed, and only then closes it: the decoder treats any close as the
     * end of a response without a stated length, although only an end of the stream is one (RFC 9112 section 8).
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
            Log.line("upstream connection broke server=" + endpointId + " request=" + requestCount + " elapsed_ms="
                    + (clock.now() - requestStartedAt) / NANOS_PER_MILLI + " idle_ms="
                    + (requestCount > 1 ? (requestStartedAt - idleSince) / NANOS_PER_MILLI : 0));
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
        // An IOException means that the server reset the connection, which the attempt's outcome reports.
        if (!(cause instanceof IOException)) {
            Log.failure("upstream connection failed server=" + endpointId, cause);
        }
        connectionLost();
    }
}
