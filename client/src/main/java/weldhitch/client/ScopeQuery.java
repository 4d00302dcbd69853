package weldhitch.client;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import weldhitch.client.policy.AttemptOutcome;
import weldhitch.client.policy.ClientAction;

/**
 * Asks a node which servers discard a repeat of a request class, by a request that the node answers itself, and reports
 * the result once, at the latest after the timeout. Used only on the event loop of the client.
 */
final class ScopeQuery {
    private final ClientAction.QueryScope query;
    private final ConnectionPool connectionPool;
    private final EventLoop eventLoop;
    private final NodeConnection.AttemptListener listener;
    private ConnectionPool.AttemptHandle handle;
    private Future<?> timeout;
    private boolean ended;

    ScopeQuery(
            ClientAction.QueryScope query,
            ConnectionPool connectionPool,
            EventLoop eventLoop,
            NodeConnection.AttemptListener listener) {
        this.query = query;
        this.connectionPool = connectionPool;
        this.eventLoop = eventLoop;
        this.listener = listener;
    }

    /** Sends the query. */
    void start() {
        handle = connectionPool.send(query.node(), () -> Optional.of(RequestEncoder.scopeQuery(query)), this::end);
        if (!ended) {
            timeout = eventLoop.schedule(this::abandon, query.timeout(), TimeUnit.NANOSECONDS);
        }
    }

    private void abandon() {
        handle.abandon();
        end(AttemptResult.withoutResponse(AttemptOutcome.TRANSPORT_ERROR));
    }

    private void end(AttemptResult result) {
        if (ended) {
            return;
        }
        ended = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        listener.onAttemptEnded(result);
    }
}
