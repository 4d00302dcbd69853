package weldhitch.node;

import weldhitch.fleet.table.VersionedTables.Table;

/**
 * Selects the route table that decides a request if a {@link RouteVersionGate} manages route versions, and tracks
 * which table the balancer uses. Owned by {@link Dispatcher}; not thread-safe, confined to the event loop.
 */
final class RouteTableSelector {
    /** Decides which routes are active at each moment; null if the node uses its own route configuration. */
    private RouteVersionGate versionGate;

    private Table<RoutingRules> activeTable;

    /** Sets the gate that decides from now on which routes are active. */
    void versionGate(RouteVersionGate next) {
        versionGate = next;
    }

    /** Returns whether the fleet manages route versions. */
    boolean managesVersions() {
        return versionGate != null;
    }

    /** Acquires the table for a request that arrives now; returns null if the request must be rejected. */
    Table<RoutingRules> acquire(ClientRequest request) {
        return versionGate.acquire(request);
    }

    /** Makes the table the active one; returns false if it already is. */
    boolean activate(Table<RoutingRules> table) {
        boolean changed = table != activeTable;
        activeTable = table;
        return changed;
    }

    void release(Table<RoutingRules> table) {
        versionGate.release(table);
    }

    /** Returns whether responses report the route version that decided their request. */
    boolean reportsVersion() {
        return versionGate != null && versionGate.reportsVersion();
    }
}
