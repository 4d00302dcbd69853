package weldhitch.node;

import io.netty.util.concurrent.Future;
import weldhitch.decision.endpoint.AttemptOutcome;

/**
 * An attempt to have a request answered by one endpoint. Each attempt ends exactly once, with a call of
 * {@link AttemptListener#ended}. Shared by {@link Dispatcher} and the upstream connections; confined to the event
 * loop.
 */
final class Attempt {
    /** The pending connect or the connection that carries an attempt. */
    interface Transport {
        /** Aborts the attempt; the caller reports its outcome. */
        void abort();

        /** Reads the part of the response that the operating system has already received, which may end the attempt. */
        default void readPendingInput() {}
    }

    final ClientRequest request;
    final int number;
    final String endpointId;
    final long sentAt;
    final long deadline;
    Future<?> timeoutTimer;
    Transport transport;
    /** Whether the operating system has accepted the request's last byte; from then on the server may execute it. */
    boolean requestWritten;

    boolean streaming;
    boolean ended;
    /** The outcome; null until the attempt has ended. */
    AttemptOutcome outcome;
    /** Whether the attempt is known not to have been executed. */
    boolean notExecuted;
    /**
     * Time until which endpoints deduplicate this attempt against an earlier one that may have been executed, in
     * nanoseconds of {@link Clock}; {@code Long.MAX_VALUE} if there is no such earlier attempt (see
     * {@link InFlightRequest#deduplicatedUntil}).
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

    /** Reads the part of the response that the operating system has already received, which may end the attempt. */
    void readPendingInput() {
        if (transport != null) {
            transport.readPendingInput();
        }
    }

    /**
     * Returns whether the endpoint may have executed the request: it has its last byte or has responded before that,
     * and has not stated otherwise.
     */
    boolean mayHaveBeenExecuted() {
        boolean responded = streaming || outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR;
        return (requestWritten || responded) && !notExecuted;
    }

    void stopTimer() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
            timeoutTimer = null;
        }
    }
}
