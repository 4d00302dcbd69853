package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Observes a client's bytes before they are parsed, because a head that arrives slowly is not visible anywhere else,
 * and releases them without parsing once input is discarded. Owned by a {@link ClientConnection}; not thread-safe,
 * confined to the event loop.
 */
final class ByteObserver extends ChannelInboundHandlerAdapter {
    private final ClientInput input;
    private final PipelinedInput pipelined;
    private final ConnectionDeadlines deadlines;
    private final Runnable onBytes;

    ByteObserver(ClientInput input, PipelinedInput pipelined, ConnectionDeadlines deadlines, Runnable onBytes) {
        this.input = input;
        this.pipelined = pipelined;
        this.deadlines = deadlines;
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        input.bufferRead();
        if (pipelined.isDiscarding()) {
            ReferenceCountUtil.release(message);
            return;
        }
        deadlines.bytesReceived(message instanceof ByteBuf bytes ? bytes.readableBytes() : 0);
        onBytes.run();
        context.fireChannelRead(message);
    }
}
