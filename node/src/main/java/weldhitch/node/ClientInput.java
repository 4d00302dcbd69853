package weldhitch.node;

import io.netty.channel.socket.SocketChannel;
import weldhitch.decision.connection.PollHistory;

/**
 * What the input of one downstream connection tells beyond its bytes: when these arrived, and whether the client
 * is still there. Owned by a {@link ClientConnection}; not thread-safe, confined to the event loop.
 */
final class ClientInput {
    /** A read stops after 256 KiB; the end of the stream may lie behind more than one, pipelined. */
    private static final int MAX_READS = 8;

    private final SocketChannel channel;
    private final Clock clock;
    private final PollHistory polls;
    private final long acceptedAt;
    private final long connectedNotBefore;
    private int buffersRead;

    /** The connection has just been accepted. */
    ClientInput(SocketChannel channel, Clock clock, PollHistory polls) {
        this.channel = channel;
        this.clock = clock;
        this.polls = polls;
        acceptedAt = clock.now();
        connectedNotBefore = polls.arrivedNotBefore();
    }

    /** A buffer has been read. */
    void bufferRead() {
        buffersRead++;
    }

    /** When the bytes arrived that are being read, as far as is known. */
    long arrivedAt() {
        return PollHistory.assumedArrival(clock.now(), polls.arrivedNotBefore(acceptedAt, connectedNotBefore));
    }

    /**
     * Whether the client is connected now. Reads what the system holds, as nothing else shows a close that waits
     * behind a request; must not be called from within a read of this connection.
     */
    boolean isConnected() {
        int buffersBefore;
        int reads = 0;
        do {
            buffersBefore = buffersRead;
            PendingInput.read(channel);
            reads++;
        } while (channel.isActive() && buffersRead != buffersBefore && reads < MAX_READS);
        return channel.isActive();
    }
}
