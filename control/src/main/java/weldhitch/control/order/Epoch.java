package weldhitch.control.order;

import java.util.HashMap;
import java.util.Map;

/**
 * All that is in force once an order was decided: whole, so that who missed some generations needs only the last.
 *
 * @param generation counts decided orders, from 0 for none
 * @param order the one that made it, null for generation 0
 * @param standing the last order by instance
 */
public record Epoch(long generation, Order order, Map<String, Order> standing) {
    public static final Epoch FIRST = new Epoch(0, null, Map.of());

    public Epoch {
        standing = Map.copyOf(standing);
    }

    /** What is in force once {@code next} is decided upon this. */
    public Epoch after(Order next) {
        Map<String, Order> then = new HashMap<>(standing);
        next.targets().forEach(target -> then.put(target, next));
        return new Epoch(generation + 1, next, then);
    }
}
