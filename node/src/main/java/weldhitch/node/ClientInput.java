package weldhitch.node;

import io.netty.channel.socket.SocketChannel;
import weldhitch.decision.connection.PollHistory;

/**
 * Determines when the bytes of a downstream connection arrived, and whether the client is still connected; the bytes
 * themselves show neither. Owned by a {@link ClientConnection}; not thread-safe, confined to the event loop.
 */
final class ClientInput {
    /** Input after which the search for its end is given up: more than the operating system buffers by default. */
    private static final long MAX_BYTES_READ = 16L << 20;

    private final SocketChannel channel;
    private final Clock clock;
    private final PollHistory polls;
    private final long acceptedAt;
    private final long connectedNotBefore;
    private final long maxBytesRead;
    private long bytesRead;

    /** Creates the input of a connection that has just been accepted. */
    ClientInput(SocketChannel channel, Clock clock, PollHistory polls) {
        this(channel, clock, polls, MAX_BYTES_READ);
    }

    /** Creates an input that gives up the search for its end after {@code maxBytesRead}. */
    ClientInput(SocketChannel channel, Clock clock, PollHistory polls, long maxBytesRead) {
        this.maxBytesRead = maxBytesRead;
        this.channel = channel;
        this.clock = clock;
        this.polls = polls;
        acceptedAt = clock.now();
        connectedNotBefore = polls.arrivedNotBefore();
    }

    /** Called when bytes have been read. */
    void bytesRead(int count) {
        bytesRead += count;
    }

    /** Returns the assumed arrival time of the bytes that are being read, in nanoseconds of {@link Clock}. */
    long arrivedAt() {
        return PollHistory.assumedArrival(clock.now(), polls.arrivedNotBefore(acceptedAt, connectedNotBefore));
    }

    /**
     * Determines whether the client is connected now. Reads all that the operating system has received, because a close
     * that follows requests becomes visible only behind them. Must not be called from within a read of this connection.
     */
    ClientPresence presence() {
        long bytesAtStart = bytesRead;
        long bytesBefore;
        do {
            bytesBefore = bytesRead;
            PendingInput.read(channel);
        } while (channel.isActive() && bytesRead != bytesBefore && bytesRead - bytesAtStart < maxBytesRead);
        if (!channel.isActive()) {
            return ClientPresence.DISCONNECTED;
        }
        return bytesRead == bytesBefore ? ClientPresence.CONNECTED : ClientPresence.UNKNOWN;
    }
}
