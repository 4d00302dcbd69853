package weldhitch.coordinator.core;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import weldhitch.consensus.Command;
import weldhitch.fleet.activation.MemberHeartbeat;

/**
 * Collects the changes of membership that the leader has to propose: joining members with their incarnations, and
 * leaving members.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}.
 */
final class MembershipChanges {
    private final String issuer;
    private final Supplier<String> commandIds;
    private final Map<String, String> joining = new TreeMap<>();
    private final Set<String> leaving = new TreeSet<>();

    /** Creates an empty set of changes; {@code commandIds} supplies unique ids. */
    MembershipChanges(String issuer, Supplier<String> commandIds) {
        this.issuer = issuer;
        this.commandIds = commandIds;
    }

    void clear() {
        joining.clear();
        leaving.clear();
    }

    /** Records a join or leave that a member requests; returns whether its incarnation is a current member. */
    boolean onCall(MemberHeartbeat call, Map<String, String> members) {
        boolean joined = call.incarnation().equals(members.get(call.member()));
        if (call.leaving()) {
            if (joined) {
                leaving.add(call.member());
            }
        } else if (!joined) {
            joining.put(call.member(), call.incarnation());
        }
        return joined;
    }

    /** Records the removal of {@code member} if it is a member. */
    void remove(String member, Map<String, String> members) {
        if (members.containsKey(member)) {
            leaving.add(member);
        }
    }

    /** Drops the changes that {@code members}, the committed membership, already contains. */
    void onCommitted(Map<String, String> members) {
        joining.entrySet().removeIf(join -> join.getValue().equals(members.get(join.getKey())));
        leaving.removeIf(member -> !members.containsKey(member));
    }

    /** Returns the command that applies the changes; empty if there are none. */
    Optional<Command> nextCommand(FleetState fleetState) {
        return joining.isEmpty() && leaving.isEmpty()
                ? Optional.empty()
                : Optional.of(fleetState.membershipCommand(issuer, commandIds.get(), joining, leaving));
    }
}
