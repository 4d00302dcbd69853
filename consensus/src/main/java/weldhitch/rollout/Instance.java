package weldhitch.rollout;

import java.util.Map;

/**
 * A node as last reported by its agent. Immutable.
 *
 * @param ready whether it accepts new requests
 */
public record Instance(String name, String site, int tier, Map<String, String> labels, boolean ready) {
    /** Copies the labels. */
    public Instance {
        labels = Map.copyOf(labels);
    }
}
