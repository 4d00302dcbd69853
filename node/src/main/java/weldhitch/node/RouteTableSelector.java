package weldhitch.node;

import weldhitch.fleet.table.VersionedTables.Table;

/**
 * Selects the route table that decides a request where a {@link RouteVersionGate} manages versions, and knows
 * which table the balancer uses. Owned by {@link Dispatcher}; not thread-safe, confined to the event loop.
 */
final class RouteTableSelector {
    /** Decides which routes are active at each moment; null if the node's own route configuration does. */
    private RouteVersionGate versionGate;

    private Table<RoutingRules> activeTable;

    /** From now on this gate decides which routes are active. */
    void versionGate(RouteVersionGate next) {
        versionGate = next;
    }

    /** Whether the fleet manages route versions. */
    boolean managesVersions() {
        return versionGate != null;
    }

    /** Acquires the table for a request that arrives now; null if the request is to be rejected. */
    Table<RoutingRules> acquire(ClientRequest request) {
        return versionGate.acquire(request);
    }

    /** Makes the table the active one; false if it already is. */
    boolean activate(Table<RoutingRules> table) {
        boolean changed = table != activeTable;
        activeTable = table;
        return changed;
    }

    void release(Table<RoutingRules> table) {
        versionGate.release(table);
    }

    /** Whether responses report the route version that decided their request. */
    boolean reportsVersion() {
        return versionGate != null && versionGate.reportsVersion();
    }
}
