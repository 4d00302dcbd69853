package weldhitch.client.policy;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The nodes that one client uses of many: those with the highest hash together with the client's own number (rendezvous
 * hashing, Thaler and Ravishankar 1998), so that clients spread evenly and a node that goes moves its own clients alone.
 */
final class Subset {
    private record Rank(String node, long hash) {
    }

    private Subset() {
    }

    static List<String> of(List<String> nodes, int size, long client) {
        return nodes.stream().distinct().map(node -> new Rank(node, hash(node, client)))
            .sorted(Comparator.comparingLong(Rank::hash).reversed().thenComparing(Rank::node)).limit(size).map(Rank::node).toList();
    }

    private static long hash(String node, long client) {
        byte[] both = (node + '#' + Long.toHexString(client)).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(both, 0, both.length, 0)[0];
    }
}
