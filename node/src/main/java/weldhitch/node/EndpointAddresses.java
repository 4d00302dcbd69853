package weldhitch.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import weldhitch.decision.discovery.AddressOwnership;
import weldhitch.decision.discovery.AddressOwnership.Listing;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.node.EndpointList.ListedEndpoint;

/**
 * Replaces endpoints whose address belongs to a newer one by removed entries, as {@link AddressOwnership} determines,
 * before a list reaches the balancer and the connection pool. Not thread-safe, confined to the event loop.
 */
final class EndpointAddresses {
    private final AddressOwnership<InetSocketAddress> ownership = new AddressOwnership<>();

    /** Returns the list or update with removed entries for the endpoints that are superseded. */
    EndpointList resolve(EndpointList list) {
        return list.full() ? resolveFull(list) : resolveUpdate(list);
    }

    private EndpointList resolveFull(EndpointList list) {
        List<Listing<InetSocketAddress>> listings = new ArrayList<>();
        for (ListedEndpoint endpoint : list.endpoints()) {
            listings.add(listing(endpoint));
        }
        Set<String> superseded = new HashSet<>(ownership.replace(listings));
        if (superseded.isEmpty()) {
            return list;
        }
        List<ListedEndpoint> owners = new ArrayList<>();
        for (ListedEndpoint endpoint : list.endpoints()) {
            String endpointId = endpoint.entry().endpointId();
            if (superseded.contains(endpointId)) {
                logSuperseded(endpointId);
            } else {
                owners.add(endpoint);
            }
        }
        return new EndpointList(list.seq(), true, owners);
    }

    private EndpointList resolveUpdate(EndpointList update) {
        List<ListedEndpoint> resolved = new ArrayList<>();
        for (ListedEndpoint endpoint : update.endpoints()) {
            String superseded = ownership.change(listing(endpoint));
            if (superseded != null) {
                logSuperseded(superseded);
                resolved.add(removed(superseded));
            }
            if (!endpoint.entry().endpointId().equals(superseded)) {
                resolved.add(endpoint);
            }
        }
        return new EndpointList(update.seq(), false, resolved);
    }

    private static Listing<InetSocketAddress> listing(ListedEndpoint endpoint) {
        EndpointEntry entry = endpoint.entry();
        return new Listing<>(entry.endpointId(), endpoint.address(), entry.state(), entry.startedAt());
    }

    private static ListedEndpoint removed(String endpointId) {
        return new ListedEndpoint(new EndpointEntry(endpointId, "", 0, EndpointState.REMOVED, 0, 0), null);
    }

    private static void logSuperseded(String endpointId) {
        Log.line("endpoint superseded by a newer one at its address server=" + endpointId);
    }
}
