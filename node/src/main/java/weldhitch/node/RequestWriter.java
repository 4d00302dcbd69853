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
 * Writes the requests of one upstream connection: a request with a small body in a single write, a larger body chunk
 * by chunk while the socket is writable. Owned by a {@link ServerConnection}; not thread-safe, confined to the event
 * loop.
 */
final class RequestWriter {
    /** The connection that is written to; its methods are called during writes, before these return. */
    interface Listener {
        /** Returns whether the attempt still waits for its outcome; if not, nothing more of it is written. */
        boolean isPending(Attempt attempt);

        /** Called when a part of the request is about to be written, or all of it has been written. */
        void progressed();

        /** Called when a write has failed, which means that the connection is lost. */
        void writeFailed();
    }

    /** Requests with bodies up to this size are written in a single write. */
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

    /** Returns whether the last byte of the current request has been written. */
    boolean requestWritten() {
        return requestWritten;
    }

    /** Clears the state of the previous request. */
    void reset() {
        requestWritten = false;
        nextChunk = 0;
    }

    /** Writes an attempt's request, or as much of it as the socket accepts. */
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

    /** Continues writing once the socket is writable again, if the attempt's request is not written yet. */
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
     * Returns a promise that reports the failure of a part. Without it, the close that follows would be treated as
     * the end of a response that has begun.
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
     * Returns a promise that is completed during the write, so that any other callback of the same write, such as the
     * buffer becoming writable again, finds the attempt already written. A listener that is added after the call has
     * returned would run after those callbacks.
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
