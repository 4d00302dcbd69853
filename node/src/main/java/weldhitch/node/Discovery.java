package weldhitch.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

final class Discovery {
    private static final int WAIT_MS = 2000;
    private static final int ANSWER_LATE_MS = 2500;
    private static final int CONNECT_MS = 1000;
    private static final int LARGEST_ANSWER = 2 << 20;
    /** Between calls that tell nothing and come back at once; within the 200 ms that a watch goes on. */
    private static final int PAUSE_MS = 100;
    private static final int LONGEST_RETRY_MS = 1000;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private final boolean asked;
    private final Consumer<Roster> onList;
    private final Runnable onRefused;
    private Channel channel;
    private Future<?> timeout;
    private boolean calling;
    /** The next call, where it waits for its time. */
    private Future<?> planned;
    private long calledAt;
    private long seq;
    private boolean lost;
    private boolean heard;
    private int failures;

    Discovery(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address, boolean asked, long seq,
            Consumer<Roster> onList, Runnable onRefused) {
        this.loop = loop;
        this.asked = asked;
        this.seq = seq;
        this.onList = onList;
        this.onRefused = onRefused;
        this.address = address;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER),
                        new Answers());
                }
            });
    }

    boolean heard() {
        return heard;
    }

    void start() {
        if (!asked) {
            call();
        }
    }

    /** The module asks for changes from now on. */
    void subscribe() {
        if (!calling) {
            call();
        }
    }

    /**
     * From here on another address tells the list. The call to the old one is given up at once, as it may be held
     * open for long and bring no news; the new one is asked for the whole list, as its versions need not go on from
     * those of the old one. Until it answers the list held stays in force.
     */
    void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        Log.line("discovery: moves to " + next);
        address = next;
        lost = true;
        failures = 0;
        stopTimeout();
        if (planned != null) {
            planned.cancel(false);
            planned = null;
        }
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
        if (calling) {
            call();
        }
    }

    private void call() {
        calling = true;
        planned = null;
        calledAt = System.nanoTime();
        if (channel != null && channel.isActive()) {
            write();
            return;
        }
        ChannelFuture dial = bootstrap.connect(address);
        channel = dial.channel();
        dial.addListener(f -> {
            if (!f.isSuccess()) {
                dial.channel().close();
                failed(dial.channel(), "cannot connect");
            } else if (channel == dial.channel()) {
                write();
            }
        });
    }

    private void write() {
        // An agent answers the first call at once where it need not wait for news: the node is ready the sooner.
        int wait = heard || asked ? WAIT_MS : 0;
        String uri = "/v1/endpoints" + (lost ? "" : "?after=" + seq + "&wait_ms=" + wait);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri,
            Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST,
            address.getAddress().getHostAddress() + ":" + address.getPort());
        Channel on = channel;
        timeout = loop.schedule(() -> failed(on, "no answer"), WAIT_MS + ANSWER_LATE_MS, TimeUnit.MILLISECONDS);
        on.writeAndFlush(request);
    }

    /** Ends a call that brought nothing; what is held stays valid. */
    private void failed(Channel on, String why) {
        if (!calling || on != channel) {
            return;
        }
        calling = false;
        stopTimeout();
        channel = null;
        on.close();
        if (failures++ == 0) {
            Log.line("discovery: " + why);
        }
        if (asked) {
            onRefused.run();
        } else {
            later(Math.min(LONGEST_RETRY_MS, PAUSE_MS << Math.min(4, failures - 1)));
        }
    }

    private void later(int millis) {
        calling = true;
        planned = loop.schedule(this::call, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void answered(Channel on, FullHttpResponse response) {
        if (!calling || on != channel || timeout == null) {
            on.close();
            return;
        }
        if (response.status().code() != 200 || response.decoderResult().isFailure()) {
            failed(on, "answered " + response.status().code());
            return;
        }
        Roster roster;
        try {
            roster = Roster.parse(ByteBufUtil.getBytes(response.content()));
        } catch (IOException e) {
            lost = true;
            failed(on, "not a list");
            return;
        }
        if (!roster.whole() && (lost || roster.seq() < seq)) {
            // Changes to a list that is not the one held say nothing; only a whole list does.
            lost = true;
            failed(on, "changes to a list that is not held");
            return;
        }
        stopTimeout();
        if (failures > 0) {
            Log.line("discovery: answers again after " + failures + " failed calls");
        }
        failures = 0;
        lost = false;
        heard = true;
        seq = roster.seq();
        if (!HttpUtil.isKeepAlive(response)) {
            channel = null;
            on.close();
        }
        onList.accept(roster);
        boolean idle = roster.hosts().isEmpty()
            && System.nanoTime() - calledAt < TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
        later(idle ? PAUSE_MS : 0);
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            answered(context.channel(), response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (timeout != null) {
                failed(context.channel(), "connection broke");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
