package weldhitch.node;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what the operating system has already received for a channel, before the event loop's next poll. The event
 * loop knows the state of a socket only as of its last read: a close that follows the bytes read then is not known yet.
 * Code that depends on the present state of a connection reads pending input first. Stateless; must be called on the
 * event loop, and not from within a read of the same channel.
 */
final class PendingInput {
    private PendingInput() {}

    /**
     * Reads once: up to 16 buffers, and the end of the stream or a reset if nothing precedes it. When this method
     * returns, the channel's handlers have received the bytes. A channel that has ended is inactive by then, but its
     * handlers are notified later.
     */
    static void read(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }
}
