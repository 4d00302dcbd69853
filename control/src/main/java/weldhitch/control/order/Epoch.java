package weldhitch.control.order;

import java.util.HashMap;
import java.util.Map;

/**
 * The complete state after a command was committed, so that a process that missed some generations needs only
 * the last. Immutable.
 *
 * @param generation number of committed commands, 0 for none
 * @param order the command that was committed last, null for generation 0
 * @param standing the last command by target
 */
public record Epoch(long generation, Order order, Map<String, Order> standing) {
    /** The state before any command is committed. */
    public static final Epoch FIRST = new Epoch(0, null, Map.of());

    /** Copies the map. */
    public Epoch {
        standing = Map.copyOf(standing);
    }

    /** Returns the state after {@code nextCommand} is committed on top of this one. */
    public Epoch after(Order next) {
        Map<String, Order> then = new HashMap<>(standing);
        next.targets().forEach(target -> then.put(target, next));
        return new Epoch(generation + 1, next, then);
    }
}
