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
 * An in-flight request, from its head until it is answered and no attempt is outstanding. Mutable; owned by
 * {@link Dispatcher} and its {@link ClientConnection}, confined to the event loop.
 */
final class InFlightRequest {
    final ClientRequest request;
    final ClientCallback client;
    /**
     * Nanoseconds the answer may take: the client's timeout, from the request's last byte; once it is dispatched,
     * what is left of that, or less if this node shuts down before.
     */
    long timeout;

    /** When its last byte arrived; its timeout counts from here. */
    long receivedAt;

    final List<Attempt> attempts = new ArrayList<>(2);
    long deadline;
    int attemptsInFlight;
    /** The final answer has been given or started, or nobody waits for it. */
    boolean finished;

    Future<?> watchdog;
    /** The route version that decides it; null if the fleet manages no versions. */
    Table<RoutingRules> routeTable;
    /** The zones it may go to by its locality rule; null if no rule applies. */
    ZoneSelection zoneSelection;

    InFlightRequest(ClientRequest request, long timeout, ClientCallback client) {
        this.request = request;
        this.timeout = timeout;
        this.client = client;
    }

    /** Buffers a part of the body, unless a limit is exceeded; returns the reason then, or null. */
    Rejection receiveBody(ByteBuf bytes) {
        BufferedBody body = request.body();
        if (body.size() + bytes.readableBytes() > ClientRequestParser.MAX_BODY_BYTES) {
            return Rejection.BODY_TOO_LARGE;
        }
        return body.add(bytes) ? null : Rejection.MEMORY_LIMIT;
    }

    /**
     * Until when endpoints deduplicate a repeat of an attempt that may have run. Counted from the decision to
     * send that attempt, which precedes the first byte from which the endpoints remember it.
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
