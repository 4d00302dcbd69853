package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Passes a client's input on to its {@link ClientConnection}, one request at a time and a few requests per poll of the
 * event loop, so that a client that sends at full speed does not delay the others. Input that waits is kept unparsed.
 * It is read even while a request is in flight, because nothing else shows that the client has disconnected. Owned by a
 * {@link ClientConnection}; not thread-safe, confined to the event loop.
 */
final class InputSequencer {
    /** The connection that handles the input. */
    interface Receiver {
        /** Returns what the connection does with input that is passed to it now. */
        Readiness readiness();

        /** Returns how many bytes of a body are still expected; {@code Long.MAX_VALUE} if that is unknown. */
        long expectedBodyBytes();

        /** Called when bytes have arrived. */
        void bytesArrived(int count);

        /** Called before bytes are parsed. */
        void parsing();

        /** Handles a decoded message, and returns whether the connection keeps its headers. */
        boolean handleMessage(Object message, long arrivedAt);

        /** Called once input has been discarded and everything before it has been handled. */
        void inputExhausted();
    }

    /** What a connection does with input. */
    enum Readiness {
        /** It waits for the next request. */
        BETWEEN_REQUESTS,
        /** It receives the body of a request. */
        IN_BODY,
        /** A request is in flight, or the client does not read its responses. */
        BUSY,
        /** It handles no further input. */
        CLOSED
    }

    /** Requests of one connection that are handled between two polls. */
    static final int MAX_REQUESTS_PER_POLL = 8;
    /** Time after which a connection that has used up its requests of one poll continues. */
    private static final long RESUME_DELAY_NANOS = 1_000_000L;
    /** Maximum number of bytes that are parsed at once between requests. */
    private static final int MAX_PORTION_BYTES = 1024;
    /** Unparsed input above which nothing more is read, unless a request is in flight. */
    private static final int MAX_READ_AHEAD_BYTES = 64 * 1024;

    private final SocketChannel channel;
    private final ConnectionContext context;
    private final ClientInput input;
    private final Receiver receiver;
    private final UnparsedInput unparsed;
    private final PipelinedInput pipelined;
    private final AccountedHeadersFactory headersFactory;
    private ChannelHandlerContext parser;
    /** The arrival time of the bytes that are being parsed. */
    private long parsedArrivedAt;

    /** Whether bytes are being parsed; handling them may call back before it returns. */
    private boolean parsing;

    private long countedPoll;
    private int requestsInPoll;
    private boolean resumeScheduled;

    InputSequencer(SocketChannel channel, ConnectionContext context, ClientInput input, Receiver receiver) {
        this.channel = channel;
        this.context = context;
        this.input = input;
        this.receiver = receiver;
        unparsed = new UnparsedInput(context.limits());
        pipelined = new PipelinedInput(context.limits());
        headersFactory = new AccountedHeadersFactory(context.limits());
    }

    /** Returns the handler of the connection's bytes, which precedes the decoder. */
    ChannelHandler bytesHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void handlerAdded(ChannelHandlerContext handlerContext) {
                parser = handlerContext;
            }

            @Override
            public void channelRead(ChannelHandlerContext handlerContext, Object message) {
                try {
                    bytesRead((ByteBuf) message);
                } finally {
                    ReferenceCountUtil.release(message);
                }
            }
        };
    }

    /** Returns the decoder's factory of headers and trailers, which accounts for their memory. */
    HttpHeadersFactory headersFactory() {
        return headersFactory;
    }

    private void bytesRead(ByteBuf bytes) {
        input.bytesRead(bytes.readableBytes());
        receiver.bytesArrived(bytes.readableBytes());
        if (isDiscarding() || receiver.readiness() == Readiness.CLOSED) {
            return;
        }
        if (!hasInput()) {
            parse(bytes, input.arrivedAt());
        }
        if (bytes.isReadable() && receiver.readiness() != Readiness.CLOSED) {
            unparsed.add(bytes, input.arrivedAt());
            scheduleResume();
        }
        updateReading();
    }

    /** Parses as much as may be handled now. */
    private void parse(ByteBuf bytes, long arrivedAt) {
        parsedArrivedAt = arrivedAt;
        parsing = true;
        try {
            while (bytes.isReadable() && pipelined.isEmpty() && mayProceed()) {
                int count = portion(bytes);
                receiver.parsing();
                parser.fireChannelRead(bytes.readRetainedSlice(count));
            }
        } finally {
            parsing = false;
        }
    }

    /** Returns how many bytes to parse at once: no more than belong to the current request, as far as that is known. */
    private int portion(ByteBuf bytes) {
        int available = bytes.readableBytes();
        if (receiver.readiness() == Readiness.IN_BODY) {
            return (int) Math.min(available, Math.max(1, receiver.expectedBodyBytes()));
        }
        int start = bytes.readerIndex();
        int end = start + Math.min(available, MAX_PORTION_BYTES);
        for (int lineEnd = bytes.indexOf(start, end, (byte) '\n');
                lineEnd >= 0 && lineEnd < end - 1;
                lineEnd = bytes.indexOf(lineEnd + 1, end, (byte) '\n')) {
            int afterEmptyLine = afterEmptyLine(bytes, lineEnd + 1, end);
            if (afterEmptyLine > 0) {
                return afterEmptyLine - start;
            }
        }
        return end - start;
    }

    /** Returns the index after the line that starts here, if it is empty; otherwise 0. */
    private static int afterEmptyLine(ByteBuf bytes, int start, int end) {
        byte first = bytes.getByte(start);
        if (first == '\n') {
            return start + 1;
        }
        return first == '\r' && start + 1 < end && bytes.getByte(start + 1) == '\n' ? start + 2 : 0;
    }

    private boolean mayProceed() {
        Readiness readiness = receiver.readiness();
        return readiness == Readiness.IN_BODY || readiness == Readiness.BETWEEN_REQUESTS && !isPollUsedUp();
    }

    private boolean isPollUsedUp() {
        return requestsInPoll >= MAX_REQUESTS_PER_POLL
                && countedPoll == context.polls().pollCount();
    }

    /** Handles a message of the decoder, or queues it; takes ownership of it. */
    void messageDecoded(Object message) {
        if (pipelined.isDiscarding()) {
            AccountedHeaders.releaseHeadersOf(message);
            ReferenceCountUtil.release(message);
        } else if (pipelined.isEmpty() && mayProceed() || receiver.readiness() == Readiness.CLOSED) {
            handle(message, parsedArrivedAt);
        } else {
            pipelined.enqueue(message, parsedArrivedAt);
            if (pipelined.isDiscarding()) {
                unparsed.discard();
            }
            scheduleResume();
        }
    }

    private void handle(Object message, long arrivedAt) {
        if (message instanceof HttpRequest) {
            long poll = context.polls().pollCount();
            requestsInPoll = poll == countedPoll ? requestsInPoll + 1 : 1;
            countedPoll = poll;
        }
        boolean keepsHeaders = false;
        try {
            keepsHeaders = receiver.handleMessage(message, arrivedAt);
        } finally {
            if (!keepsHeaders) {
                AccountedHeaders.releaseHeadersOf(message);
            }
            ReferenceCountUtil.release(message);
        }
    }

    /** Continues with the input that waits; called when a request has been answered or the client reads again. */
    void resume() {
        if (parsing) {
            return;
        }
        while (hasInput() && mayProceed()) {
            if (!pipelined.isEmpty()) {
                PipelinedInput.QueuedMessage next = pipelined.poll();
                handle(next.message(), next.arrivedAt());
            } else {
                UnparsedInput.Chunk chunk = unparsed.first();
                parse(chunk.bytes(), chunk.arrivedAt());
            }
        }
        if (isExhausted() && mayProceed()) {
            receiver.inputExhausted();
        }
        scheduleResume();
        updateReading();
    }

    /** Schedules {@link #resume} if input waits only because the requests of this poll are used up. */
    private void scheduleResume() {
        if (resumeScheduled
                || !hasInput() && !isExhausted()
                || receiver.readiness() != Readiness.BETWEEN_REQUESTS
                || !isPollUsedUp()) {
            return;
        }
        resumeScheduled = true;
        context.events().count(NodeEvent.CLIENT_INPUT_DEFERRED, null);
        channel.eventLoop()
                .schedule(
                        () -> {
                            resumeScheduled = false;
                            resume();
                        },
                        RESUME_DELAY_NANOS,
                        TimeUnit.NANOSECONDS);
    }

    /** Reads further input, unless much of it waits and nothing depends on whether the client is still connected. */
    void updateReading() {
        boolean reads = receiver.readiness() != Readiness.BETWEEN_REQUESTS
                || isDiscarding()
                || unparsed.reservedBytes() < MAX_READ_AHEAD_BYTES;
        if (channel.config().isAutoRead() != reads) {
            channel.config().setAutoRead(reads);
        }
    }

    /** Returns whether input waits to be handled. */
    boolean hasInput() {
        return !pipelined.isEmpty() || unparsed.first() != null;
    }

    private boolean isDiscarding() {
        return unparsed.isDiscarding() || pipelined.isDiscarding();
    }

    /** Returns whether input has been discarded and everything before it has been handled. */
    boolean isExhausted() {
        return isDiscarding() && !hasInput();
    }

    /** Discards all input that waits or is incomplete. */
    void release() {
        unparsed.discard();
        pipelined.release();
        headersFactory.releaseIncomplete();
    }
}
