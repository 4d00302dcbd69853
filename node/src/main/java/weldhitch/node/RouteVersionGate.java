package weldhitch.node;

import weldhitch.fleet.activation.ActiveVersions;
import weldhitch.fleet.member.FleetMember;
import weldhitch.fleet.table.VersionedTables.Table;
import weldhitch.fleet.table.VersionedTables.View;

/**
 * Selects the route version that decides a request, where the fleet manages versions, and rejects requests
 * while the version is fenced or in doubt. Called by {@link Dispatcher} on the event loop; {@link #fenced} from
 * any thread. Times are of {@link System#nanoTime}.
 */
final class RouteVersionGate {
    private final FleetMember<RoutingRules> member;
    private final boolean reportsVersion;

    RouteVersionGate(FleetMember<RoutingRules> member, boolean reportsVersion) {
        this.member = member;
        this.reportsVersion = reportsVersion;
    }

    /**
     * Acquires the route table that applies to this request, to be released when it has ended; null if this
     * node cannot tell which version decides it.
     */
    Table<RoutingRules> acquire(ClientRequest request) {
        long now = System.nanoTime();
        return rejects(request, now) ? null : member.tables().acquire(now);
    }

    void release(Table<RoutingRules> table) {
        member.tables().release(table);
    }

    private boolean rejects(ClientRequest request, long now) {
        View<RoutingRules> view = member.tables().view();
        ActiveVersions activeVersions = view.activeVersions();
        return activeVersions.isFencedAt(now)
                || activeVersions.isInDoubtAt(now)
                        && view.next() != null
                        && view.current().content().differsFor(view.next().content(), request);
    }

    /** Whether all requests are rejected, so that no client should be routed to this node. */
    boolean fenced() {
        return member.tables().view().activeVersions().isFencedAt(System.nanoTime());
    }

    /** Whether responses report the version that decided their request. */
    boolean reportsVersion() {
        return reportsVersion;
    }
}
