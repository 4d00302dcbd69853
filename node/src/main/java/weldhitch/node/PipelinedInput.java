package weldhitch.node;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * The queue of decoded input that a client has sent while an earlier request on its connection is in flight. Input
 * is read even then, because nothing else shows that the client has disconnected. Input that exceeds the limits is
 * discarded, and so is everything after it. Owned by a {@link ClientConnection}; not thread-safe, confined to the
 * event loop.
 */
final class PipelinedInput {
    /** Maximum memory for the pipelined input of one connection. */
    static final int MAX_BYTES = 512 * 1024;
    /** Estimated memory of a pipelined head. */
    static final int HEAD_BYTES = 2 * 1024;

    /** Estimated memory of a pipelined body chunk in addition to its bytes. */
    static final int CONTENT_OVERHEAD_BYTES = 128;

    /** A decoded message and its arrival time, from which its request's timeout counts however long it is queued. */
    record QueuedMessage(Object message, long arrivedAt) {}

    private final ResourceLimits limits;
    private final ArrayDeque<QueuedMessage> messages = new ArrayDeque<>();
    private int bytes;
    private boolean discarding;

    PipelinedInput(ResourceLimits limits) {
        this.limits = limits;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns whether input has been discarded; nothing is read after it. */
    boolean isDiscarding() {
        return discarding;
    }

    /** Returns whether input has been discarded and everything that was queued before it has been processed. */
    boolean isExhausted() {
        return discarding && messages.isEmpty();
    }

    /**
     * Queues a message, or discards it if a limit is reached; takes ownership of the message in both cases. A body
     * chunk is copied out of its read buffer, because even one byte of it would pin the buffer.
     */
    void enqueue(Object message, long arrivedAt) {
        Object queued = message;
        if (message instanceof HttpContent content && content.content().isReadable()) {
            queued = content.replace(Unpooled.copiedBuffer(content.content()));
            AccountedHeaders.releaseHeadersOf(content);
            content.release();
        }
        int cost = memoryCost(queued);
        if (bytes + cost > MAX_BYTES || !limits.tryReserve(cost, 0)) {
            AccountedHeaders.releaseHeadersOf(queued);
            ReferenceCountUtil.release(queued);
            discarding = true;
            return;
        }
        bytes += cost;
        messages.add(new QueuedMessage(queued, arrivedAt));
    }

    private static int memoryCost(Object message) {
        return message instanceof HttpContent content
                ? CONTENT_OVERHEAD_BYTES + content.content().readableBytes()
                : HEAD_BYTES;
    }

    /** Removes and returns the oldest message, which the caller then owns; the queue must not be empty. */
    QueuedMessage poll() {
        QueuedMessage next = messages.poll();
        int cost = memoryCost(next.message);
        bytes -= cost;
        limits.release(cost);
        return next;
    }

    /** Releases all queued messages. */
    void release() {
        while (!messages.isEmpty()) {
            Object message = poll().message;
            AccountedHeaders.releaseHeadersOf(message);
            ReferenceCountUtil.release(message);
        }
    }
}
