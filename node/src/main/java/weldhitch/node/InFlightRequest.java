package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;
import weldhitch.fleet.locality.ZoneSelection;
import weldhitch.fleet.table.VersionedTables.Table;

/**
 * An in-flight request, from when its head is read until it is answered and no attempt is outstanding. Mutable;
 * owned by {@link Dispatcher} and its {@link ClientConnection}, confined to the event loop.
 */
final class InFlightRequest {
    final ClientRequest request;
    final ClientCallback client;
    /**
     * Maximum time until the answer, in nanoseconds. Before the request is admitted, this is the client's timeout,
     * counted from the request's last byte; from then on, it is the rest of that time, or less if this node shuts down
     * earlier.
     */
    long timeout;

    /** The arrival time of the request's last byte, from which its timeout counts. */
    long receivedAt;

    final List<Attempt> attempts = new ArrayList<>(2);
    long deadline;
    int attemptsInFlight;
    /** Whether the final answer has been given or started, or the client no longer waits for it. */
    boolean finished;

    Future<?> watchdog;
    /** The route table that decides the request; null if the fleet does not manage route versions. */
    Table<RoutingRules> routeTable;
    /** The zones that the request may go to by its locality rule; null if no rule applies. */
    ZoneSelection zoneSelection;

    InFlightRequest(ClientRequest request, long timeout, ClientCallback client) {
        this.request = request;
        this.timeout = timeout;
        this.client = client;
    }

    /** Buffers a part of the body and returns null; returns the reason for a rejection if a limit is exceeded. */
    Rejection receiveBody(ByteBuf bytes) {
        BufferedBody body = request.body();
        if (body.size() + bytes.readableBytes() > ClientRequestParser.MAX_BODY_BYTES) {
            return Rejection.BODY_TOO_LARGE;
        }
        return body.add(bytes) ? null : Rejection.MEMORY_LIMIT;
    }

    /**
     * Adds an attempt.
     *
     * @param attemptTimeout the attempt's own timeout in nanoseconds, or 0 for none
     */
    Attempt addAttempt(String endpointId, long attemptTimeout, long now) {
        long attemptDeadline = attemptTimeout > 0 ? Math.min(deadline, now + attemptTimeout) : deadline;
        Attempt attempt = new Attempt(request, attempts.size(), endpointId, now, attemptDeadline, deduplicatedUntil());
        attempts.add(attempt);
        attemptsInFlight++;
        return attempt;
    }

    /** Answers a request that is not served any more: rejects it if it was not executed, and fails it otherwise. */
    void rejectOrFail() {
        if (mayHaveBeenExecuted()) {
            client.failed(true);
        } else {
            client.rejected(0);
        }
    }

    /** Returns whether an endpoint may have executed the request, or may yet do so. */
    boolean mayHaveBeenExecuted() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveBeenExecuted()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the time until which endpoints deduplicate a repeat of an attempt that may have been executed, or
     * {@code Long.MAX_VALUE} if there is no such attempt or the class does not use idempotency keys. The window counts
     * from the decision to send that attempt; endpoints remember an attempt from its first byte, which is later.
     */
    long deduplicatedUntil() {
        RequestClass requestClass = request.requestClass();
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            for (Attempt attempt : attempts) {
                if (!attempt.notExecuted) {
                    return attempt.sentAt + requestClass.deduplicationWindow();
                }
            }
        }
        return Long.MAX_VALUE;
    }
}
