package weldhitch.node;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what the system already holds for a channel, ahead of the event loop's next poll. The loop's view of a
 * socket is as old as its last read: a close may wait there behind bytes that have been read. Whoever acts on a
 * connection's state where that matters reads first. Stateless; called on the event loop, and not from within a
 * read of the same channel.
 */
final class PendingInput {
    private PendingInput() {}

    /**
     * Reads once: up to 16 buffers, and the end of the stream or a reset if nothing lies before it. The channel's
     * handlers have seen the bytes when this returns; an ended channel is inactive then, which its handlers are
     * told later.
     */
    static void read(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }
}
