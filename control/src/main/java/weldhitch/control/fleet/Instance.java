package weldhitch.control.fleet;

import java.util.Map;

/**
 * A node as its agent last told of it.
 *
 * @param ready whether it takes new requests
 */
public record Instance(String name, String site, int tier, Map<String, String> labels, boolean ready) {
    public Instance {
        labels = Map.copyOf(labels);
    }
}
