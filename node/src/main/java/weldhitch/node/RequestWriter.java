package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes the requests of one upstream connection: a small one at once, a larger body chunk by chunk as the
 * socket has room. Owned by a {@link ServerConnection}; not thread-safe, confined to the event loop.
 */
final class RequestWriter {
    /** The connection; its methods are called within writes, before these return. */
    interface Listener {
        /** Whether the attempt still waits for its outcome; nothing more of another is written. */
        boolean isPending(Attempt attempt);

        /** A part of the request is about to be written, or all of it has been. */
        void progressed();

        /** A write failed: the connection is lost. */
        void writeFailed();
    }

    /** Requests with bodies up to this size are written at once. */
    private static final int MAX_SINGLE_WRITE_BYTES = 64 * 1024;

    private final Channel channel;
    private final Listener listener;
    private boolean requestWritten;
    private boolean writesInChunks;
    private int nextChunk;

    RequestWriter(Channel channel, Listener listener) {
        this.channel = channel;
        this.listener = listener;
    }

    /** Whether the last byte of the current request has been written. */
    boolean requestWritten() {
        return requestWritten;
    }

    /** Forgets the previous request. */
    void reset() {
        requestWritten = false;
        nextChunk = 0;
    }

    /** Writes an attempt's request, or as much of it as the socket has room for. */
    void write(Attempt attempt, HttpHeaders headers) {
        ClientRequest request = attempt.request;
        if (request.body().size() <= MAX_SINGLE_WRITE_BYTES) {
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
                    writePromise(attempt));
        } else {
            writesInChunks = true;
            channel.write(
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers),
                    partPromise());
            writeChunks(attempt);
        }
    }

    /** The socket has room again: writes on, if the attempt's request is not written yet. */
    void resume(Attempt attempt) {
        if (writesInChunks && !attempt.requestWritten) {
            writeChunks(attempt);
        }
    }

    private void writeChunks(Attempt attempt) {
        BufferedBody body = attempt.request.body();
        while (listener.isPending(attempt) && nextChunk < body.chunks() && channel.isWritable()) {
            int index = nextChunk++;
            boolean last = nextChunk == body.chunks();
            listener.progressed();
            channel.writeAndFlush(new DefaultHttpContent(body.chunk(index)), partPromise());
            if (last) {
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, writePromise(attempt));
            }
        }
    }

    /**
     * Reports the failure of any part: the close that follows would otherwise be taken for the end of a response
     * that has begun.
     */
    private ChannelPromise partPromise() {
        ChannelPromise promise = channel.newPromise();
        promise.addListener(f -> {
            if (!f.isSuccess()) {
                listener.writeFailed();
            }
        });
        return promise;
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
        if (success && listener.isPending(writtenAttempt)) {
            writtenAttempt.requestWritten = true;
            requestWritten = true;
            listener.progressed();
        } else if (!success) {
            listener.writeFailed();
        }
    }
}
