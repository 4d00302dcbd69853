package weldhitch.node;

import io.netty.util.concurrent.Future;
import weldhitch.decision.endpoint.AttemptOutcome;

/**
 * One forwarding of a request to one endpoint. It ends exactly once, with {@link AttemptListener#ended}. Shared
 * by {@link Dispatcher} and the upstream connections; confined to the event loop.
 */
final class Attempt {
    /** What carries the attempt: a pending connect or a connection. */
    interface Transport {
        /** Aborts the attempt; the caller reports its outcome. */
        void abort();

        /** Reads what the system already holds of the response, which may end the attempt. */
        default void readPendingInput() {}
    }

    final ClientRequest request;
    final int number;
    final String endpointId;
    final long sentAt;
    final long deadline;
    Future<?> timeoutTimer;
    Transport transport;
    /** The operating system has the request's last byte: from here on the server may execute it. */
    boolean requestWritten;

    boolean streaming;
    boolean ended;
    /** How it ended; null until then. */
    AttemptOutcome outcome;
    /** Known not to have been executed. */
    boolean notExecuted;
    /**
     * Until when endpoints deduplicate it if an earlier attempt was executed; {@code Long.MAX_VALUE} if none
     * can have been.
     */
    final long deduplicatedUntil;

    Attempt(ClientRequest request, int number, String endpointId, long sentAt, long deadline, long deduplicatedUntil) {
        this.request = request;
        this.number = number;
        this.endpointId = endpointId;
        this.sentAt = sentAt;
        this.deadline = deadline;
        this.deduplicatedUntil = deduplicatedUntil;
    }

    /** Reads what the system already holds of the response, which may end the attempt. */
    void readPendingInput() {
        if (transport != null) {
            transport.readPendingInput();
        }
    }

    void stopTimer() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
            timeoutTimer = null;
        }
    }
}
