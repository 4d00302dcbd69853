package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import weldhitch.decision.connection.PollHistory;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/** Tests what {@link ClientInput} finds out about a client whose input has not been read. */
class ClientInputTest {
    /** Less than the operating system buffers while nothing is read. */
    private static final int UNREAD_BYTES = 48 * 1024;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<ClientInput> accepted = new LinkedBlockingQueue<>();

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private TestConnection connect(long maxBytesRead) throws Exception {
        Clock clock = new Clock();
        InetSocketAddress address = (InetSocketAddress) new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Sockets.READ_BUFFER_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ClientInput input = new ClientInput(channel, clock, new PollHistory(clock.now()), maxBytesRead);
                        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) {
                                input.bytesRead(((ByteBuf) message).readableBytes());
                                ReferenceCountUtil.release(message);
                            }
                        });
                        accepted.add(input);
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel()
                .localAddress();
        return new TestConnection(new Socket(address.getAddress(), address.getPort()));
    }

    private ClientPresence presence(ClientInput input) throws Exception {
        return group.next().submit(input::presence).get();
    }

    @Test
    void clientWhoseInputEndsIsConnected() throws Exception {
        try (TestConnection client = connect(1 << 20)) {
            ClientInput input = accepted.take();
            client.write(new byte[UNREAD_BYTES]);
            assertEquals(ClientPresence.CONNECTED, presence(input));
        }
    }

    @Test
    void closeBehindUnreadInputIsFound() throws Exception {
        TestConnection client = connect(1 << 20);
        ClientInput input = accepted.take();
        client.write(new byte[UNREAD_BYTES]);
        client.close();
        TestSupport.await(() -> {
            try {
                return presence(input) == ClientPresence.DISCONNECTED;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    void clientWithMoreUnreadInputThanIsReadIsOfUnknownPresence() throws Exception {
        try (TestConnection client = connect(Sockets.READ_BUFFER_BYTES)) {
            ClientInput input = accepted.take();
            client.write(new byte[UNREAD_BYTES]);
            assertEquals(ClientPresence.UNKNOWN, presence(input));
        }
    }
}
