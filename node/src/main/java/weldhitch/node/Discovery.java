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
import weldhitch.decision.ListAge;
import weldhitch.decision.ListCalls;
import weldhitch.decision.ListCalls.Failure;
import weldhitch.fleet.member.FleetMember;

final class Discovery implements FleetMember.ListTurns {
    private static final int LARGEST_ANSWER = 2 << 20;
    /** Between calls that tell nothing and come back at once; within the 200 ms that a watch goes on. */
    private static final long PAUSE = 100_000_000L;
    /** How long a first call waits for the word when it may go out: some of a node's calls to stewards. */
    private static final long FOR_A_TURN = 1_000_000_000L;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private final boolean asked;
    private final Consumer<Roster> onList;
    private final ListCalls calls;
    private final ListAge age = new ListAge(System.nanoTime());
    private Channel channel;
    private Future<?> timeout;
    private boolean calling;
    /** The next call, where it waits for its time. */
    private Future<?> planned;
    private long calledAt;
    /** When the answer to the call at hand is due: at the end of the wait that it asks for. */
    private long dueAt;
    private long seq;
    private boolean heard;
    /** Whether stewards hand out turns, and whether one is waited for. */
    private boolean awaits;
    private volatile boolean wantsTurn;
    private volatile long turnFrom;
    /** When the next call goes out at the latest, turn or no turn, once a list is held. */
    private long askBy;

    Discovery(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address, boolean asked, long seq,
            ListCalls calls, Consumer<Roster> onList) {
        this.loop = loop;
        this.asked = asked;
        this.seq = seq;
        this.onList = onList;
        this.calls = calls;
        this.address = address;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TimeUnit.NANOSECONDS.toMillis(calls.dial()))
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

    InetSocketAddress address() {
        return address;
    }

    void start() {
        if (!asked) {
            call();
        }
    }

    /** The module asks for changes from now on. */
    void subscribe() {
        if (!calling && awaits) {
            // A turn may be on its way; without one it asks when the module would have it ask.
            later(FOR_A_TURN);
        } else if (!calling) {
            call();
        }
    }

    /**
     * From here on stewards hand out turns to ask for a list: a first call, and one after a failure, waits for its turn instead
     * of a moment drawn by chance. Where no turn comes it asks as without any.
     */
    void awaitTurns() {
        awaits = asked;
        wantsTurn = awaits && !heard;
        turnFrom = System.nanoTime();
    }

    @Override
    public long wantedIn() {
        return wantsTurn ? Math.max(0, turnFrom - System.nanoTime()) : -1;
    }

    @Override
    public void turn(long at) {
        wantsTurn = false;
        loop.execute(() -> {
            boolean waits = planned != null || !calling;
            // A service that has more calls than it bears is asked less often than in turns.
            if (waits && (!heard || calls.failures() > 0) && !calls.overloaded()) {
                if (planned != null) {
                    planned.cancel(false);
                }
                later(Math.max(0, (heard ? Math.min(at, askBy) : at) - System.nanoTime()));
            }
        });
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
        long wait = calls.moved();
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
        if (calling && wait == 0) {
            call();
        } else if (calling) {
            later(wait);
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
                failed(dial.channel(), Failure.BROKEN, "cannot connect");
            } else if (channel == dial.channel()) {
                write();
            }
        });
    }

    private void write() {
        // An agent answers the first call at once where it need not wait for news: the node is ready the sooner.
        long waits = calls.wantsWhole() || !heard && !asked ? 0 : calls.asks();
        String uri = "/v1/endpoints" + (calls.wantsWhole() ? "" : "?after=" + seq + "&wait_ms=" + TimeUnit.NANOSECONDS.toMillis(waits));
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri,
            Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST,
            address.getAddress().getHostAddress() + ":" + address.getPort());
        Channel on = channel;
        dueAt = System.nanoTime() + waits;
        timeout = loop.schedule(() -> failed(on, Failure.SILENT, "no answer"), waits + calls.patience(),
            TimeUnit.NANOSECONDS);
        on.writeAndFlush(request);
    }

    /** Ends a call that brought nothing; what is held stays valid, and is asked for again. */
    private void failed(Channel on, Failure why, String seen) {
        failed(on, why, seen, 0);
    }

    private void failed(Channel on, Failure why, String seen, long askedToWait) {
        if (!calling || on != channel) {
            return;
        }
        stopTimeout();
        channel = null;
        on.close();
        long wait = calls.failed(why, askedToWait);
        if (calls.failures() == 1) {
            Log.line("discovery: " + seen);
        }
        String word = age.word(System.nanoTime());
        if (word != null) {
            Log.line(word);
        }
        later(wait);
        askBy = System.nanoTime() + calls.longestWait();
        turnFrom = System.nanoTime() + wait;
        wantsTurn = awaits;
    }

    private void later(long nanos) {
        calling = true;
        planned = loop.schedule(this::call, nanos, TimeUnit.NANOSECONDS);
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
        if (response.status().code() != 200) {
            failed(on, Failure.REFUSED, "answered " + response.status().code(), Headers.retryAfter(response.headers()));
            return;
        }
        if (response.decoderResult().isFailure()) {
            failed(on, Failure.BROKEN, "broke off its answer");
            return;
        }
        Roster roster;
        try {
            roster = Roster.parse(ByteBufUtil.getBytes(response.content()));
        } catch (IOException e) {
            failed(on, Failure.UNREADABLE, "not a list");
            return;
        }
        if (calls.wantsWhole() ? !roster.whole() : roster.seq() < seq) {
            // What is older than the list held, or changes to another one, says nothing; only a whole list asked for does.
            failed(on, Failure.NOT_HELD, "a list older than the one held, or changes to another one");
            return;
        }
        stopTimeout();
        if (calls.failures() > 0) {
            Log.line("discovery: answers again after " + calls.failures() + " failed calls");
        }
        long now = System.nanoTime();
        calls.answered(now - dueAt);
        heard = true;
        wantsTurn = false;
        age.sure(now);
        seq = roster.seq();
        if (!HttpUtil.isKeepAlive(response)) {
            channel = null;
            on.close();
        }
        onList.accept(roster);
        boolean idle = roster.hosts().isEmpty()
            && now - calledAt < PAUSE;
        later(idle ? PAUSE : calls.pause());
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            answered(context.channel(), response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (timeout != null) {
                failed(context.channel(), Failure.BROKEN, "connection broke");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
