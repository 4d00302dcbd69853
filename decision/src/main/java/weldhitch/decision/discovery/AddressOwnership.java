package weldhitch.decision.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.endpoint.EndpointState;

/**
 * Determines which listed endpoint a process at an address is. A new endpoint may be listed at the address of one that
 * has gone before the removal of that one is known; whatever is sent to either then reaches the new process. The
 * endpoint that started last owns the address; of endpoints that started at the same time, the one that was listed
 * last. The others are superseded: they must be treated as removed. Not thread-safe; performs no I/O, reads no clock.
 *
 * @param <A> the type of an address
 */
public final class AddressOwnership<A> {
    /**
     * An entry of an endpoint list.
     *
     * @param address the address; may be null if the endpoint is removed
     * @param startedAt the time at which the endpoint started; 0 means long ago
     */
    public record Listing<A>(String endpointId, A address, EndpointState state, long startedAt) {
        private boolean isSameProcessAs(Listing<A> other) {
            return other != null && address.equals(other.address) && startedAt == other.startedAt;
        }
    }

    private final Map<A, Listing<A>> ownersByAddress = new LinkedHashMap<>();
    private final Map<String, Listing<A>> ownersById = new LinkedHashMap<>();
    private final Map<String, Listing<A>> supersededById = new LinkedHashMap<>();

    /**
     * Applies a complete list, which replaces everything known before. Endpoints that started at the same time are
     * listed at the same time here, so that neither supersedes the other.
     *
     * @return the ids of the listed endpoints that are superseded
     */
    public List<String> replace(List<Listing<A>> listings) {
        ownersByAddress.clear();
        ownersById.clear();
        supersededById.clear();
        for (Listing<A> listing : listings) {
            Listing<A> other = ownersByAddress.get(listing.address);
            if (listing.state != EndpointState.REMOVED && (other == null || listing.startedAt > other.startedAt)) {
                ownersByAddress.put(listing.address, listing);
            }
        }
        List<String> superseded = new ArrayList<>();
        for (Listing<A> listing : listings) {
            if (listing.state == EndpointState.REMOVED) {
                continue;
            }
            if (ownersByAddress.get(listing.address).startedAt > listing.startedAt) {
                supersededById.put(listing.endpointId, listing);
                superseded.add(listing.endpointId);
            } else {
                ownersById.put(listing.endpointId, listing);
            }
        }
        return superseded;
    }

    /**
     * Applies a changed or removed entry.
     *
     * @return the id of the endpoint that is superseded, which may be the changed one; null if none is
     */
    public String change(Listing<A> listing) {
        Listing<A> supersededBefore = supersededById.remove(listing.endpointId);
        Listing<A> ownedBefore = ownersById.remove(listing.endpointId);
        if (ownedBefore != null) {
            ownersByAddress.remove(ownedBefore.address, ownedBefore);
        }
        if (listing.state == EndpointState.REMOVED) {
            return null;
        }
        Listing<A> owner = ownersByAddress.get(listing.address);
        boolean superseded =
                owner != null && (owner.startedAt > listing.startedAt || listing.isSameProcessAs(supersededBefore));
        if (superseded) {
            supersededById.put(listing.endpointId, listing);
            return listing.endpointId;
        }
        ownersByAddress.put(listing.address, listing);
        ownersById.put(listing.endpointId, listing);
        if (owner == null) {
            return null;
        }
        ownersById.remove(owner.endpointId);
        supersededById.put(owner.endpointId, owner);
        return owner.endpointId;
    }
}
