package weldhitch.node;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
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
     * Nanoseconds the answer may take from the request's last byte: the client's timeout, or less if this node
     * shuts down before.
     */
    long timeout;

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
}
