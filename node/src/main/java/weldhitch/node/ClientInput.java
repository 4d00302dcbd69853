package weldhitch.node;

import io.netty.channel.socket.SocketChannel;
import weldhitch.decision.connection.PollHistory;

/**
 * Determines when the bytes of a downstream connection arrived, and whether the client is still connected; the bytes
 * themselves show neither. Owned by a {@link ClientConnection}; not thread-safe, confined to the event loop.
 */
final class ClientInput {
    /** A read stops after 256 KiB; with pipelined input, it may take several reads to find the end of the stream. */
    private static final int MAX_READS = 8;

    private final SocketChannel channel;
    private final Clock clock;
    private final PollHistory polls;
    private final long acceptedAt;
    private final long connectedNotBefore;
    private long bytesRead;

    /** Creates the input of a connection that has just been accepted. */
    ClientInput(SocketChannel channel, Clock clock, PollHistory polls) {
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
     * Returns whether the client is connected now. Reads what the operating system has already received, because a
     * close that follows a request becomes visible only by reading. Must not be called from within a read of this
     * connection.
     */
    boolean isConnected() {
        long bytesBefore;
        int reads = 0;
        do {
            bytesBefore = bytesRead;
            PendingInput.read(channel);
            reads++;
        } while (channel.isActive() && bytesRead != bytesBefore && reads < MAX_READS);
        return channel.isActive();
    }
}
