package weldhitch.node;

import weldhitch.fleet.activation.ActiveVersions;
import weldhitch.fleet.member.FleetMember;
import weldhitch.fleet.table.VersionedTables.Table;
import weldhitch.fleet.table.VersionedTables.View;

/**
 * Selects the route version that decides a request if the fleet manages versions, and rejects requests while this
 * node is fenced or the version is in doubt. Called by {@link Dispatcher} on the event loop; {@link #fenced} may be
 * called from any thread. Times are of {@link System#nanoTime}.
 */
final class RouteVersionGate {
    private final FleetMember<RoutingRules> member;
    private final boolean reportsVersion;

    RouteVersionGate(FleetMember<RoutingRules> member, boolean reportsVersion) {
        this.member = member;
        this.reportsVersion = reportsVersion;
    }

    /**
     * Acquires the route table that applies to this request and that must be released when the request has ended.
     * Returns null if this node does not know which version decides the request.
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

    /** Returns whether all requests are rejected, so that no client should be routed to this node. */
    boolean fenced() {
        return member.tables().view().activeVersions().isFencedAt(System.nanoTime());
    }

    /** Returns whether responses report the version that decided their request. */
    boolean reportsVersion() {
        return reportsVersion;
    }
}
