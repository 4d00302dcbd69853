package weldhitch.control.order;

import java.util.Objects;
import java.util.Set;

/**
 * What an operator wants of some instances.
 *
 * @param id unique, of the operator's making
 * @param reason why, for those who read it later
 * @param issuedAtMillis the operator's wall clock, to be shown and never compared
 */
public record Order(String id, String operator, String reason, Action action, Set<String> targets,
        long issuedAtMillis) {
    /** What becomes of an instance. */
    public enum Action { DRAIN, UNDRAIN, RELOAD, RESTART, NOTHING }

    public Order {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(action, "action");
        targets = Set.copyOf(targets);
    }

    /** Closes a generation that its operator left open, and asks nothing of anyone. */
    static Order nothing(String agent) {
        return new Order("closed by " + agent, agent, "its operator left it open", Action.NOTHING, Set.of(), 0);
    }
}
