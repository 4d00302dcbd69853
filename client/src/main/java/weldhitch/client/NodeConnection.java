package weldhitch.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Instant;
import weldhitch.client.policy.AttemptOutcome;

/**
 * A connection to a node, which carries one attempt at a time. It reports the outcome of each attempt once, and
 * notifies its owner when it is idle or closed. Used only on the event loop of the client.
 */
final class NodeConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Notified when the state of a connection changes; implemented by the pool that opened it. */
    interface Owner {
        /** Called when the connection can carry another attempt. */
        void onIdle(NodeConnection connection);

        /**
         * Called when the connection is closed.
         *
         * @param closeAnnounced whether the node had announced that it would close the connection
         */
        void onClosed(NodeConnection connection, boolean closeAnnounced);
    }

    /** Receives the outcome of an attempt, once. */
    interface AttemptListener {
        /** Called when the attempt has ended. */
        void onAttemptEnded(AttemptResult result);
    }

    final String node;
    private final Owner owner;
    private Channel channel;
    private AttemptListener listener;
    private boolean requestWritten;
    private boolean hasReceivedResponse;
    private boolean closeAnnounced;
    /** Whether a response that has just been read is being handled. */
    private boolean reading;

    NodeConnection(String node, Owner owner) {
        this.node = node;
        this.owner = owner;
    }

    /**
     * Decides whether an idle connection can carry an attempt. Reads from the socket first, because the node may have
     * closed the connection or sent an unsolicited response that the event loop has not read yet.
     */
    boolean isUsable() {
        if (!reading && channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        return channel.isActive();
    }

    /** Sends an attempt; takes ownership of the request. */
    void send(FullHttpRequest request, AttemptListener attemptListener) {
        listener = attemptListener;
        requestWritten = false;
        channel.writeAndFlush(request).addListener(writeFuture -> {
            if (writeFuture.isSuccess()) {
                requestWritten = listener == attemptListener;
            } else if (listener == attemptListener) {
                channel.close();
            }
        });
    }

    /**
     * Abandons the attempt and closes the connection, because a late response could not be distinguished from the
     * response to the next request.
     */
    void abandonAttempt() {
        listener = null;
        channel.close();
    }

    void close() {
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        reading = true;
        handleResponse(response);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        ctx.fireChannelReadComplete();
    }

    private void handleResponse(FullHttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && response.status().code() != 101) {
            return;
        }
        if (listener == null || !requestWritten || response.decoderResult().isFailure()) {
            // After an unsolicited or malformed response, no later response can be matched to its request, so the
            // connection is closed.
            endAttempt(AttemptResult.withoutResponse(AttemptOutcome.TRANSPORT_ERROR));
            channel.close();
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(response);
        closeAnnounced |= !keepAlive;
        AttemptResult result = AttemptResult.of(response, Instant.now());
        hasReceivedResponse = true;
        if (keepAlive) {
            AttemptListener attemptListener = listener;
            listener = null;
            owner.onIdle(this);
            attemptListener.onAttemptEnded(result);
        } else {
            channel.close();
            endAttempt(result);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // A request that was not completely written cannot have been executed. A completely written one may have
        // been executed, even if the node had closed the connection before.
        endAttempt(AttemptResult.withoutResponse(
                !requestWritten
                        ? AttemptOutcome.NOT_SENT
                        : hasReceivedResponse ? AttemptOutcome.STALE_CONNECTION : AttemptOutcome.TRANSPORT_ERROR));
        owner.onClosed(this, closeAnnounced);
    }

    private void endAttempt(AttemptResult result) {
        AttemptListener attemptListener = listener;
        listener = null;
        if (attemptListener != null) {
            attemptListener.onAttemptEnded(result);
        }
    }
}
