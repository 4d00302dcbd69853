package weldhitch.client.policy;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Selects the subset of nodes that one client uses: those with the highest hash of address and client id (rendezvous
 * hashing, Thaler and Ravishankar 1998). Clients thus spread evenly, and removing a node moves only the clients that
 * used it. Stateless.
 */
final class NodeSubset {
    /** A node and its rendezvous hash. */
    private record Rank(String address, long hash) {}

    private NodeSubset() {}

    /** Returns the nodes of this client, highest hash first. */
    static List<String> select(List<String> addresses, int size, long clientId) {
        return addresses.stream()
                .distinct()
                .map(address -> new Rank(address, hash(address, clientId)))
                .sorted(Comparator.comparingLong(Rank::hash).reversed().thenComparing(Rank::address))
                .limit(size)
                .map(Rank::address)
                .toList();
    }

    private static long hash(String address, long clientId) {
        byte[] bytes = (address + '#' + Long.toHexString(clientId)).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }
}
