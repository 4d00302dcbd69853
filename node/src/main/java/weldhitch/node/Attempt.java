package weldhitch.node;

import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;

/** One sending of a request to a server. It ends exactly once, by {@link Dispatcher#ended}. */
final class Attempt {
    final Exchange exchange;
    final int number;
    final String server;
    final long sentAt;
    final long until;
    Future<?> timer;
    ChannelFuture dial;
    ServerConnection connection;
    /** The operating system has the request's last byte: from here on the server may run it. */
    boolean written;
    boolean streaming;
    boolean ended;

    Attempt(Exchange exchange, int number, String server, long sentAt, long until) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.until = until;
    }
}
